/**
 * Records crashes of engines and finds the prompt part that causes them.
 *
 * A crash breaks all answers of an engine, so most parts that occur in a crash are innocent. Three facts tell them
 * apart. A call with the culprit never ends with a complete answer, so each complete answer clears the parts of its
 * prompt, and a part of a recent one needs more evidence. The culprit goes on to crash other engines, so only crashes in
 * sequence count: those of calls that were sent after the previous crash with the part. Engines that crash at one
 * instant for another reason count once. And the culprit occurs in most crashes of its time.
 */

import {LRUCache} from 'lru-cache';
import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';
import type {PartKey} from '../part-key/index.js';

/** A call whose answer had begun when the engine crashed. */
export type CrashedPrompt = {
	/** In prompt order, without the last part. */
	readonly parts: readonly PartKey[];
	/** When the call was sent to the engine. */
	readonly sentAt: MonotonicMs;
};

/** Crash of one incarnation of an engine, as one instance saw it. */
export type CrashReport = {
	readonly target: TargetId;
	/** Unix time of the start of the incarnation, in milliseconds. */
	readonly startedAt: number;
	readonly crashedAt: MonotonicMs;
	readonly prompts: readonly CrashedPrompt[];
};

/** What the recorded crashes say about a part. */
export type PartEvidence = {
	readonly part: PartKey;
	/** Position in the prompt, from 0. */
	readonly depth: number;
	/** Crashes with the part. */
	readonly crashes: number;
	/** Crashes of calls that were sent after the previous counted crash. */
	readonly sequentialCrashes: number;
};

/** Tells whether a part is known to crash engines, which explains a crash with it. */
export type CulpritLookup = (part: PartKey) => boolean;

/** Time for which a crash is evidence, in milliseconds. */
export const evidenceValidityMs = 60_000;
/** Crashes in sequence that identify a part. */
const requiredSequence = 4;
/** The same if other crashes overlapped with these, so that `overlappingCrashes` were seen in all. */
const overlappingSequence = 3;
const overlappingCrashes = 5;
/**
 * Crashes in sequence that identify a part although something else may be the cause: another part that no complete answer
 * has proven occurred in each of them, or the part is missing in many crashes of the same time.
 */
const ambiguousSequence = 6;
/** Share of the crashes of a time that contain a part if nothing else crashes engines. */
const dominantShare = 0.6;
/** Share of a part's crashes in which a deeper part occurs that may be their cause; reports of some may have been lost. */
const deeperAlternativeShare = 0.7;
/** Crashes in sequence that identify a part of which calls ended with a complete answer before; new weights may crash on it. */
const provenSequence = 8;
/** Time before the first crash for which a complete answer proves a part, in milliseconds. */
const proofValidityMs = 60_000;
/** Number of crashes with a part from which calls that crashed an engine are not sent again. */
export const suspiciousCrashes = 2;
/** Minimum time from a crash to a later call, in milliseconds. Times that other instances report are off by the delay of their messages. */
const reportSkewMs = 20;
const maximumCrashes = 64;
const maximumPartsPerCrash = 256;
const maximumCompletions = 4096;

type PartOccurrence = {
	readonly depth: number;
	/** When the last call with the part was sent. */
	readonly sentAt: MonotonicMs;
	/** Parts that come before this one in all prompts of the crash. */
	readonly precedingParts: readonly PartKey[];
};
type Crash = {readonly crashedAt: MonotonicMs; readonly occurrences: Map<PartKey, PartOccurrence>};
type Evidence = {readonly part: PartKey; depth: number; sequentialCrashes: number; lastCountedAt: number; readonly crashList: Crash[]};
/** Crashes that no known culprit explains, in the order of time, and what they say about each part. */
type Evaluation = {readonly crashes: readonly Crash[]; readonly evidenceByPart: ReadonlyMap<PartKey, Evidence>};

/** Crashes of the last minute and what they say about prompt parts. */
export class CrashLedger {
	/** By incarnation, so that the reports of several instances are merged. */
	private readonly crashes = new Map<string, Crash>();
	/** When a call with the part last ended with a complete answer. */
	private readonly completions = new LRUCache<PartKey, MonotonicMs>({max: maximumCompletions});

	/**
	 * Records a crash, or adds the prompts of a further report of the same crash. Calls that were sent after it broke for
	 * another reason, such as a reset of their connection, and are left out. Returns whether the crash is new.
	 */
	recordCrash({target, startedAt, crashedAt, prompts}: CrashReport, now: MonotonicMs): boolean {
		const id = `${target} ${startedAt}`;
		const known = this.crashes.get(id);
		if (known === undefined) {
			this.dropOldCrashes(now);
		}

		const crash: Crash = known ?? {crashedAt, occurrences: new Map()};
		this.crashes.set(id, crash);
		for (const prompt of prompts.filter(({sentAt}) => sentAt <= crash.crashedAt)) {
			addPrompt(crash, prompt);
		}

		return known === undefined;
	}

	/** Records that a call with these parts ended with a complete answer. Returns the parts that this clears. */
	recordCompletion(parts: readonly PartKey[], endedAt: MonotonicMs): PartKey[] {
		const clearedParts = parts.filter(part => this.hasEvidence(part, endedAt));
		for (const part of parts) {
			const previous = this.completions.peek(part) ?? endedAt;
			this.completions.set(part, Math.max(previous, endedAt) as MonotonicMs);
		}

		return clearedParts;
	}

	/** Forgets the crashes with a part, which would otherwise speak against the other parts of its prompts. */
	forgetCrashes(part: PartKey): void {
		for (const [id, crash] of this.crashes) {
			if (crash.occurrences.has(part)) {
				this.crashes.delete(id);
			}
		}
	}

	/** Returns when a call with the part last ended with a complete answer; undefined if it is not known. */
	readCompletedAt(part: PartKey): MonotonicMs | undefined {
		return this.completions.get(part);
	}

	/** Whether a call with the part ended with a complete answer at `since` or later. */
	hasCompletedSince(part: PartKey, since: MonotonicMs): boolean {
		const completedAt = this.completions.peek(part);
		return completedAt !== undefined && completedAt >= since;
	}

	/**
	 * Finds the parts whose evidence identifies them: the deepest ones, as fewer calls share these. In place of a part, a
	 * deeper one is found that occurred in the same crashes. Parts for which `isCulprit` holds explain all crashes with them.
	 */
	findCulprits(isCulprit: CulpritLookup, now: MonotonicMs): PartEvidence[] {
		const evaluation = this.evaluate(isCulprit, now);
		const identified = [...evaluation.evidenceByPart.values()].filter(evidence => this.isSufficient(evidence, evaluation));
		const culprits = new Set(identified.flatMap(evidence => [evidence, ...this.listAlternatives(evidence, evaluation)]));
		const depth = Math.max(...[...culprits].map(evidence => evidence.depth));
		return [...culprits].filter(evidence => evidence.depth === depth).map(evidence => summariseEvidence(evidence));
	}

	/** Lists the parts with crashes that no other part explains, those with the most crashes first. */
	listEvidence(isCulprit: CulpritLookup, now: MonotonicMs): PartEvidence[] {
		const evidence = [...this.evaluate(isCulprit, now).evidenceByPart.values()].map(entry => summariseEvidence(entry));
		return evidence.toSorted((a, b) => b.crashes - a.crashes || b.depth - a.depth);
	}

	/**
	 * Whether so many crashes speak against one of the parts that a call which crashed an engine is not sent again. A part
	 * is not suspicious if the same crashes speak against a deeper one, which fewer calls share.
	 */
	isSuspicious(parts: readonly PartKey[], isCulprit: CulpritLookup, now: MonotonicMs): boolean {
		const evaluation = this.evaluate(isCulprit, now);
		return parts.some(part => {
			const evidence = evaluation.evidenceByPart.get(part);
			return evidence !== undefined && evidence.crashList.length >= suspiciousCrashes
				&& !this.listAlternatives(evidence, evaluation).some(alternative => alternative.depth > evidence.depth);
		});
	}

	private hasEvidence(part: PartKey, endedAt: MonotonicMs): boolean {
		for (const crash of this.crashes.values()) {
			const isEvidence = crash.occurrences.has(part) && crash.crashedAt < endedAt && endedAt - crash.crashedAt <= evidenceValidityMs;
			if (isEvidence && !this.hasCompletedSince(part, crash.crashedAt)) {
				return true;
			}
		}

		return false;
	}

	private evaluate(isCulprit: CulpritLookup, now: MonotonicMs): Evaluation {
		const crashes = [...this.crashes.values()]
			.filter(crash => now - crash.crashedAt <= evidenceValidityMs && ![...crash.occurrences.keys()].some(part => isCulprit(part)))
			.toSorted((a, b) => a.crashedAt - b.crashedAt);
		const evidenceByPart = new Map<PartKey, Evidence>();
		for (const crash of crashes) {
			for (const [part, occurrence] of crash.occurrences) {
				if (!this.hasCompletedSince(part, crash.crashedAt)) {
					addEvidence(evidenceByPart, part, occurrence, crash);
				}
			}
		}

		return {crashes, evidenceByPart};
	}

	private isSufficient(evidence: Evidence, evaluation: Evaluation): boolean {
		const {sequentialCrashes, crashList} = evidence;
		const isRepeated = sequentialCrashes >= requiredSequence || (sequentialCrashes >= overlappingSequence && crashList.length >= overlappingCrashes);
		if (!isRepeated) {
			return false;
		}

		if (this.isProven(evidence)) {
			return sequentialCrashes >= provenSequence;
		}

		return sequentialCrashes >= ambiguousSequence || (isDominant(evidence, evaluation) && this.listAlternatives(evidence, evaluation).length === 0);
	}

	/** Whether a call with the part ended with a complete answer not long before the first crash. */
	private isProven({part, crashList}: Evidence): boolean {
		return this.hasCompletedSince(part, crashList[0]!.crashedAt - proofValidityMs as MonotonicMs);
	}

	/** Lists the other parts that may be the cause of a part's crashes. The parts before it are none, as more calls share them. */
	private listAlternatives(evidence: Evidence, {evidenceByPart}: Evaluation): Evidence[] {
		return [...evidenceByPart.values()].filter(alternative => alternative.part !== evidence.part && sharesCrashes(alternative, evidence)
			&& !this.isProven(alternative) && !isPreceding(alternative.part, evidence));
	}

	private dropOldCrashes(now: MonotonicMs): void {
		for (const [id, crash] of this.crashes) {
			if (now - crash.crashedAt > evidenceValidityMs || this.crashes.size >= maximumCrashes) {
				this.crashes.delete(id);
			}
		}
	}
}

function addPrompt({occurrences}: Crash, {parts, sentAt}: CrashedPrompt): void {
	for (const [depth, part] of parts.entries()) {
		const known = occurrences.get(part);
		if (known !== undefined || occurrences.size < maximumPartsPerCrash) {
			const precedingParts = parts.slice(0, depth).filter(other => known?.precedingParts.includes(other) ?? true);
			occurrences.set(part, {depth, precedingParts, sentAt: Math.max(sentAt, known?.sentAt ?? sentAt) as MonotonicMs});
		}
	}
}

function addEvidence(evidenceByPart: Map<PartKey, Evidence>, part: PartKey, {depth, sentAt}: PartOccurrence, crash: Crash): void {
	const evidence = evidenceByPart.get(part) ?? {
		part, depth, sequentialCrashes: 0, lastCountedAt: Number.NEGATIVE_INFINITY, crashList: [],
	};
	evidenceByPart.set(part, evidence);
	evidence.depth = depth;
	evidence.crashList.push(crash);
	if (sentAt > evidence.lastCountedAt + reportSkewMs) {
		evidence.sequentialCrashes += 1;
		evidence.lastCountedAt = crash.crashedAt;
	}
}

/** Whether a part occurred in most crashes from its first to its last one. */
function isDominant({crashList}: Evidence, {crashes}: Evaluation): boolean {
	const firstAt = crashList[0]!.crashedAt;
	const lastAt = crashList.at(-1)!.crashedAt;
	const sameTime = crashes.filter(crash => crash.crashedAt >= firstAt && crash.crashedAt <= lastAt);
	return crashList.length >= dominantShare * sameTime.length;
}

/** Whether a alternative occurs in so many crashes of a part that it may be their cause. */
function sharesCrashes(alternative: Evidence, {depth, crashList}: Evidence): boolean {
	const neededCrashes = crashList.length * (alternative.depth > depth ? deeperAlternativeShare : 1);
	return alternative.crashList.length >= neededCrashes && crashList.filter(crash => alternative.crashList.includes(crash)).length >= neededCrashes;
}

/** Whether `part` comes before the part of `evidence` in all prompts of its crashes. */
function isPreceding(part: PartKey, evidence: Evidence): boolean {
	return evidence.crashList.every(crash => crash.occurrences.get(evidence.part)!.precedingParts.includes(part));
}

function summariseEvidence({part, depth, sequentialCrashes, crashList}: Evidence): PartEvidence {
	return {
		part, depth, crashes: crashList.length, sequentialCrashes,
	};
}
