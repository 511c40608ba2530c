/**
 * Records which requests ran at targets that crashed, and finds those that cause it.
 *
 * A crash breaks all requests of its target, so a sound one that is repeated can be in several crashes. Three facts tell
 * them apart. A complete answer to a request clears it of all crashes before. A crash that a known culprit explains speaks
 * against no other request. And repeats that are sent after a crash and break again say more than requests that were all
 * broken at one instant, as when all targets end for another reason.
 */

import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';
import type {RequestKey} from '../request-key/index.js';

/** A request that ran when its target crashed. */
export type CrashedRequest = {
	readonly key: RequestKey;
	/** When it was sent to the target. */
	readonly sentAt: MonotonicMs;
};

/** Crash of one incarnation of a target, as one instance saw it. */
export type RequestCrash = {
	readonly target: TargetId;
	/** Unix time of the start of the incarnation, in milliseconds. */
	readonly startedAt: number;
	readonly crashedAt: MonotonicMs;
	readonly requests: readonly CrashedRequest[];
};

/** What the recorded crashes say about a request. */
export type RequestEvidence = {
	readonly key: RequestKey;
	readonly crashes: number;
	/** Crashes of repeats that were sent after the previous counted crash. */
	readonly sequentialCrashes: number;
};

/** Tells whether a request is known to crash targets, which explains a crash with it. */
export type RequestLookup = (key: RequestKey) => boolean;

/** Time for which a crash is evidence, in milliseconds. A whole request is specific evidence, so it can be kept for long. */
export const evidenceValidityMs = 3_600_000;
/** Crashes that identify a request. */
const requiredCrashes = 3;
/** Minimum time from a crash to a later repeat, in milliseconds. Times that other instances report are off by the delay of their messages. */
const reportSkewMs = 20;
const maximumCrashes = 256;
const maximumRequestsPerCrash = 256;

type Crash = {readonly crashedAt: MonotonicMs; readonly sentAtByKey: Map<RequestKey, MonotonicMs>};

/** Crashes of the last hour, by request. */
export class RequestLedger {
	/** By incarnation in the order of their arrival, so that the reports of several instances are merged. */
	private readonly crashes = new Map<string, Crash>();

	/** Whether there is no evidence against any request. */
	get isEmpty(): boolean {
		return this.crashes.size === 0;
	}

	/**
	 * Records a crash, or adds the requests of a further report of the same one. Requests that were sent after it broke for
	 * another reason and are left out. Returns whether the crash is new.
	 */
	recordCrash({target, startedAt, crashedAt, requests}: RequestCrash, now: MonotonicMs): boolean {
		const id = `${target} ${startedAt}`;
		const known = this.crashes.get(id);
		if (known === undefined) {
			this.dropOldCrashes(now);
		}

		const crash: Crash = known ?? {crashedAt, sentAtByKey: new Map()};
		this.crashes.set(id, crash);
		for (const {key, sentAt} of requests) {
			if (sentAt <= crash.crashedAt && crash.sentAtByKey.size < maximumRequestsPerCrash) {
				crash.sentAtByKey.set(key, Math.max(sentAt, crash.sentAtByKey.get(key) ?? sentAt) as MonotonicMs);
			}
		}

		return known === undefined;
	}

	/** Clears a request of the crashes before `completedAt`. Returns whether there were any. */
	recordCompletion(key: RequestKey, completedAt: MonotonicMs): boolean {
		let isCleared = false;
		for (const {crashedAt, sentAtByKey} of this.crashes.values()) {
			if (crashedAt <= completedAt) {
				isCleared = sentAtByKey.delete(key) || isCleared;
			}
		}

		return isCleared;
	}

	/** Number of crashes with a request that no known culprit explains. */
	countCrashes(key: RequestKey, isCulprit: RequestLookup, now: MonotonicMs): number {
		return this.listUnexplained(isCulprit, now).filter(({sentAtByKey}) => sentAtByKey.has(key)).length;
	}

	/** Finds the request with the most crashes of those that enough crashes identify, and all that have as many. */
	findCulprits(isCulprit: RequestLookup, now: MonotonicMs): RequestEvidence[] {
		const identified = this.listEvidence(isCulprit, now)
			.filter(({crashes}) => crashes >= requiredCrashes);
		return identified.filter(({crashes}) => crashes === identified[0]!.crashes);
	}

	/** Lists the requests with crashes that no known culprit explains, those with the most crashes first. */
	listEvidence(isCulprit: RequestLookup, now: MonotonicMs): RequestEvidence[] {
		const evidenceByKey = new Map<RequestKey, RequestEvidence & {countedAt: number}>();
		for (const {crashedAt, sentAtByKey} of this.listUnexplained(isCulprit, now)) {
			for (const [key, sentAt] of sentAtByKey) {
				const known = evidenceByKey.get(key);
				const isSequential = sentAt > (known?.countedAt ?? Number.NEGATIVE_INFINITY) + reportSkewMs;
				evidenceByKey.set(key, {
					key,
					crashes: (known?.crashes ?? 0) + 1,
					sequentialCrashes: (known?.sequentialCrashes ?? 0) + (isSequential ? 1 : 0),
					countedAt: isSequential ? crashedAt : known!.countedAt,
				});
			}
		}

		return [...evidenceByKey.values()]
			.map(({key, crashes, sequentialCrashes}) => ({key, crashes, sequentialCrashes}))
			.toSorted((a, b) => b.crashes - a.crashes || b.sequentialCrashes - a.sequentialCrashes);
	}

	/** Forgets what speaks against a request. */
	forget(key: RequestKey): void {
		for (const {sentAtByKey} of this.crashes.values()) {
			sentAtByKey.delete(key);
		}
	}

	private listUnexplained(isCulprit: RequestLookup, now: MonotonicMs): Crash[] {
		return [...this.crashes.values()]
			.filter(({crashedAt, sentAtByKey}) => now - crashedAt <= evidenceValidityMs && ![...sentAtByKey.keys()].some(key => isCulprit(key)))
			.toSorted((a, b) => a.crashedAt - b.crashedAt);
	}

	private dropOldCrashes(now: MonotonicMs): void {
		for (const [id, {crashedAt}] of this.crashes) {
			if (now - crashedAt > evidenceValidityMs || this.crashes.size >= maximumCrashes) {
				this.crashes.delete(id);
			}
		}
	}
}
