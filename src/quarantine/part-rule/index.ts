/**
 * Decides which prompt part causes crashes.
 *
 * A crash breaks all answers of an engine, so most parts that occur in a crash are innocent. Three facts tell them
 * apart. A call with the culprit never ends with a complete answer, so each complete answer clears the parts of its
 * prompt, and a part of a recent one needs more evidence. The culprit goes on to crash other engines, so only crashes in
 * sequence count: those of calls that were sent after the previous crash with the part. Engines that crash at one
 * instant for another reason count once. And the culprit occurs in most crashes of its time.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {CompletionLog} from '../completion-log/index.js';
import type {Evaluation, Evidence, EvidenceRule} from '../crash-evidence/index.js';
import type {PartKey} from '../part-key/index.js';

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
/**
 * Number of crashes with a part, in sequence or not, from which calls with it are sent one at a time. Crashes at one instant may
 * have another reason, so they identify no part, but calls with a culprit may come at one instant, too.
 */
const concurrentCrashes = 4;
/** Number of crashes with a part from which calls that crashed an engine are not sent again. */
const suspiciousCrashes = 2;

type PartEvidence = Evidence<PartKey>;
type PartEvaluation = Evaluation<PartKey>;

/** Rule for the parts of prompts. */
export class PartRule implements EvidenceRule<PartKey> {
	constructor(private readonly completions: CompletionLog<PartKey>) {}

	isCleared(part: PartKey, crashedAt: MonotonicMs): boolean {
		return this.completions.hasCompletedSince(part, crashedAt);
	}

	/**
	 * Finds the parts whose evidence identifies them: the deepest ones, as fewer calls share these. In place of a part, a
	 * deeper one is found that occurred in the same crashes.
	 */
	findCulprits(evaluation: PartEvaluation): PartEvidence[] {
		const identified = [...evaluation.evidenceByKey.values()].filter(evidence => this.isSufficient(evidence, evaluation));
		return listDeepest(new Set(identified.flatMap(evidence => [evidence, ...this.listAlternatives(evidence, evaluation)])));
	}

	/** Finds the parts that may cause the crashes, although these came at too few instants to tell: the deepest ones. */
	findSuspects(evaluation: PartEvaluation): PartEvidence[] {
		const suspects = [...evaluation.evidenceByKey.values()]
			.filter(evidence => evidence.crashList.length >= concurrentCrashes && isDominant(evidence, evaluation) && !this.isProven(evidence));
		return listDeepest(new Set(suspects));
	}

	/** A part is not suspicious if the same crashes speak against a deeper one, which fewer calls share. */
	isSuspicious(parts: readonly PartKey[], evaluation: PartEvaluation): boolean {
		return parts.some(part => {
			const evidence = evaluation.evidenceByKey.get(part);
			return evidence !== undefined && evidence.crashList.length >= suspiciousCrashes
				&& !this.listAlternatives(evidence, evaluation).some(alternative => alternative.depth > evidence.depth);
		});
	}

	compareEvidence(a: PartEvidence, b: PartEvidence): number {
		return b.crashList.length - a.crashList.length || b.depth - a.depth;
	}

	private isSufficient(evidence: PartEvidence, evaluation: PartEvaluation): boolean {
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
	private isProven({key, crashList}: PartEvidence): boolean {
		return this.completions.hasCompletedSince(key, crashList[0]!.crashedAt - proofValidityMs as MonotonicMs);
	}

	/** Lists the other parts that may be the cause of a part's crashes. The parts before it are none, as more calls share them. */
	private listAlternatives(evidence: PartEvidence, {evidenceByKey}: PartEvaluation): PartEvidence[] {
		return [...evidenceByKey.values()].filter(alternative => alternative.key !== evidence.key && sharesCrashes(alternative, evidence)
			&& !this.isProven(alternative) && !isPreceding(alternative.key, evidence));
	}
}

function listDeepest(evidence: ReadonlySet<PartEvidence>): PartEvidence[] {
	const depth = Math.max(...[...evidence].map(entry => entry.depth));
	return [...evidence].filter(entry => entry.depth === depth);
}

/** Whether a part occurred in most crashes from its first to its last one. */
function isDominant({crashList}: PartEvidence, {crashes}: PartEvaluation): boolean {
	const firstAt = crashList[0]!.crashedAt;
	const lastAt = crashList.at(-1)!.crashedAt;
	const sameTime = crashes.filter(crash => crash.crashedAt >= firstAt && crash.crashedAt <= lastAt);
	return crashList.length >= dominantShare * sameTime.length;
}

/** Whether an alternative occurs in so many crashes of a part that it may be their cause. */
function sharesCrashes(alternative: PartEvidence, {depth, crashList}: PartEvidence): boolean {
	const neededCrashes = crashList.length * (alternative.depth > depth ? deeperAlternativeShare : 1);
	return alternative.crashList.length >= neededCrashes && crashList.filter(crash => alternative.crashList.includes(crash)).length >= neededCrashes;
}

/** Whether `part` comes before the part of `evidence` in all prompts of its crashes. */
function isPreceding(part: PartKey, {key, crashList}: PartEvidence): boolean {
	return crashList.every(crash => crash.occurrences.get(key)!.precedingKeys.includes(part));
}
