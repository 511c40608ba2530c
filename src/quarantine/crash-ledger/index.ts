/** Records crashes of engines by the parts of the prompts that they were answering, and finds the part that causes them. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import {CompletionLog} from '../completion-log/index.js';
import type {CrashedCall, CrashedTarget, Evidence} from '../crash-evidence/index.js';
import {EvidenceLedger, type CulpritLookup} from '../evidence-ledger/index.js';
import type {PartKey} from '../part-key/index.js';
import {PartRule} from '../part-rule/index.js';

/** A call whose answer had begun when the engine crashed. */
export type CrashedPrompt = {
	/** In prompt order, without the last part. */
	readonly parts: readonly PartKey[];
	/** When the call was sent to the engine. */
	readonly sentAt: MonotonicMs;
};

/** Crash of one incarnation of an engine, as one instance saw it. */
export type CrashReport = CrashedTarget & {readonly prompts: readonly CrashedPrompt[]};

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

/** Time for which a crash is evidence, in milliseconds. */
export const evidenceValidityMs = 60_000;
const maximumCrashes = 64;
const maximumPartsPerCrash = 256;

/** Lists the calls of a crash with what identifies them. */
export function listPromptCalls({prompts}: CrashReport): Array<CrashedCall<PartKey>> {
	return prompts.map(({parts, sentAt}) => ({keys: parts, sentAt}));
}

/** Crashes of the last minute and what they say about prompt parts. */
export class CrashLedger {
	private readonly completions = new CompletionLog<PartKey>();
	private readonly rule = new PartRule(this.completions);
	private readonly evidence = new EvidenceLedger<PartKey>({
		rule: this.rule, validityMs: evidenceValidityMs, maximumCrashes, maximumKeysPerCrash: maximumPartsPerCrash,
	});

	/** Records a crash, or adds the prompts of a further report of the same crash. Returns whether the crash is new. */
	recordCrash(crash: CrashReport, now: MonotonicMs): boolean {
		return this.evidence.recordCrash(crash, listPromptCalls(crash), now);
	}

	/** Records that a call with these parts ended with a complete answer. Returns the parts that this clears. */
	recordCompletion(parts: readonly PartKey[], endedAt: MonotonicMs): PartKey[] {
		const clearedParts = parts.filter(part => this.evidence.isClearedBy(part, endedAt));
		for (const part of parts) {
			this.completions.record(part, endedAt);
		}

		return clearedParts;
	}

	/** Forgets the crashes with a part, which would otherwise speak against the other parts of its prompts. */
	forget(part: PartKey): void {
		this.evidence.forgetCrashes(part);
	}

	/** Returns when a call with the part last ended with a complete answer; undefined if it is not known. */
	readCompletedAt(part: PartKey): MonotonicMs | undefined {
		return this.completions.read(part);
	}

	/** Whether a call with the part ended with a complete answer at `since` or later. */
	hasCompletedSince(part: PartKey, since: MonotonicMs): boolean {
		return this.completions.hasCompletedSince(part, since);
	}

	/** Finds the parts whose evidence identifies them. Parts for which `isCulprit` holds explain all crashes with them. */
	findCulprits(isCulprit: CulpritLookup<PartKey>, now: MonotonicMs): PartEvidence[] {
		return this.evidence.findCulprits(isCulprit, now).map(evidence => summariseEvidence(evidence));
	}

	/** Finds the parts that may cause crashes, and of which calls are sent one at a time. */
	findSuspects(isCulprit: CulpritLookup<PartKey>, now: MonotonicMs): PartKey[] {
		return this.rule.findSuspects(this.evidence.evaluate(isCulprit, now)).map(({key}) => key);
	}

	/** Lists the parts with crashes that no known culprit explains, those with the most crashes first. */
	listEvidence(isCulprit: CulpritLookup<PartKey>, now: MonotonicMs): PartEvidence[] {
		return this.evidence.listEvidence(isCulprit, now).map(evidence => summariseEvidence(evidence));
	}

	/** Whether so many crashes speak against one of the parts that a call which crashed an engine is not sent again. */
	isSuspicious(parts: readonly PartKey[], isCulprit: CulpritLookup<PartKey>, now: MonotonicMs): boolean {
		return this.evidence.isSuspicious(parts, isCulprit, now);
	}
}

function summariseEvidence({key, depth, sequentialCrashes, crashList}: Evidence<PartKey>): PartEvidence {
	return {
		part: key, depth, crashes: crashList.length, sequentialCrashes,
	};
}
