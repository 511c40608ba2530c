/** Records which requests ran at targets that crashed, and finds those that cause it. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import {CompletionLog} from '../completion-log/index.js';
import type {CrashedCall, CrashedTarget, Evidence} from '../crash-evidence/index.js';
import {EvidenceLedger, type CulpritLookup} from '../evidence-ledger/index.js';
import type {RequestKey} from '../request-key/index.js';
import {RequestRule} from '../request-rule/index.js';

/** A request that ran when its target crashed. */
export type CrashedRequest = {
	readonly key: RequestKey;
	/** When it was sent to the target. */
	readonly sentAt: MonotonicMs;
};

/** Crash of one incarnation of a target, as one instance saw it. */
export type RequestCrash = CrashedTarget & {readonly requests: readonly CrashedRequest[]};

/** What the recorded crashes say about a request. */
export type RequestEvidence = {
	readonly key: RequestKey;
	readonly crashes: number;
	/** Crashes of repeats that were sent after the previous counted crash. */
	readonly sequentialCrashes: number;
};

/** Time for which a crash is evidence, in milliseconds. A whole request is specific evidence, so it can be kept for long. */
export const evidenceValidityMs = 3_600_000;
const maximumCrashes = 256;
const maximumRequestsPerCrash = 256;

/** Lists the calls of a crash with what identifies them. */
export function listRequestCalls({requests}: RequestCrash): Array<CrashedCall<RequestKey>> {
	return requests.map(({key, sentAt}) => ({keys: [key], sentAt}));
}

/** Crashes of the last hour, by request. */
export class RequestLedger {
	private readonly completions = new CompletionLog<RequestKey>();
	private readonly evidence = new EvidenceLedger<RequestKey>({
		rule: new RequestRule(this.completions), validityMs: evidenceValidityMs, maximumCrashes, maximumKeysPerCrash: maximumRequestsPerCrash,
	});

	/** Whether there is no evidence against any request. */
	get isEmpty(): boolean {
		return this.evidence.isEmpty;
	}

	/** Records a crash, or adds the requests of a further report of the same one. Returns whether the crash is new. */
	recordCrash(crash: RequestCrash, now: MonotonicMs): boolean {
		return this.evidence.recordCrash(crash, listRequestCalls(crash), now);
	}

	/** Clears a request of the crashes before `completedAt`, also of those that are reported later. Returns whether any were known. */
	recordCompletion(key: RequestKey, completedAt: MonotonicMs): boolean {
		this.completions.record(key, completedAt);
		// It is taken out of the known crashes as well, since so many requests complete in the hour in which these count that they are not all remembered.
		return this.evidence.removeKey(key, completedAt);
	}

	/** Whether the request had a complete answer at `since` or later. */
	hasCompletedSince(key: RequestKey, since: MonotonicMs): boolean {
		return this.completions.hasCompletedSince(key, since);
	}

	/** Number of crashes with a request that no known culprit explains. */
	countCrashes(key: RequestKey, isCulprit: CulpritLookup<RequestKey>, now: MonotonicMs): number {
		return this.evidence.evaluate(isCulprit, now).evidenceByKey.get(key)?.crashList.length ?? 0;
	}

	/** Finds the request with the most crashes of those that enough crashes identify, and all that have as many. */
	findCulprits(isCulprit: CulpritLookup<RequestKey>, now: MonotonicMs): RequestEvidence[] {
		return this.evidence.findCulprits(isCulprit, now).map(evidence => summariseEvidence(evidence));
	}

	/** Lists the requests with crashes that no known culprit explains, those with the most crashes first. */
	listEvidence(isCulprit: CulpritLookup<RequestKey>, now: MonotonicMs): RequestEvidence[] {
		return this.evidence.listEvidence(isCulprit, now).map(evidence => summariseEvidence(evidence));
	}

	/** Whether a call with the request is not sent to another target without being asked. */
	isSuspicious(key: RequestKey, isCulprit: CulpritLookup<RequestKey>, now: MonotonicMs): boolean {
		return this.evidence.isSuspicious([key], isCulprit, now);
	}

	/** Forgets what speaks against a request. */
	forget(key: RequestKey): void {
		this.evidence.removeKey(key, Number.POSITIVE_INFINITY);
	}
}

function summariseEvidence({key, sequentialCrashes, crashList}: Evidence<RequestKey>): RequestEvidence {
	return {key, crashes: crashList.length, sequentialCrashes};
}
