/**
 * Evidence of crashes against keys: parts of prompts or whole requests. Each kind of key has a rule that decides what its
 * evidence proves.
 */

import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';

/** One incarnation of a target that crashed, as one instance saw it. */
export type CrashedTarget = {
	readonly target: TargetId;
	/** Unix time of the start of the incarnation, in milliseconds. */
	readonly startedAt: number;
	readonly crashedAt: MonotonicMs;
};

/** Who saw a crash: this instance, or another one that reported it. */
export type CrashSource = 'own' | 'peer';

/** A call that ran when its target crashed. */
export type CrashedCall<Key extends string> = {
	/** What identifies the call, from what most calls share to what few do. */
	readonly keys: readonly Key[];
	/** When the call was sent to the target. */
	readonly sentAt: MonotonicMs;
};

/** A key in a crash. */
export type Occurrence<Key extends string> = {
	/** Position in the keys of its calls, from 0. */
	readonly depth: number;
	/** When the last call with the key was sent. */
	readonly sentAt: MonotonicMs;
	/** Keys that come before this one in all calls of the crash. */
	readonly precedingKeys: readonly Key[];
};

/** What is known of the crash of one incarnation. */
export type Crash<Key extends string> = {readonly crashedAt: MonotonicMs; readonly occurrences: Map<Key, Occurrence<Key>>};

/** What speaks against a key. */
export type Evidence<Key extends string> = {
	readonly key: Key;
	readonly depth: number;
	/** Crashes with the key, in the order of time. */
	readonly crashList: ReadonlyArray<Crash<Key>>;
	/** Number of crashes of calls that were sent after the previous counted crash. */
	readonly sequentialCrashes: number;
};

/** Crashes that no known culprit explains, in the order of time, and what they say about each key. */
export type Evaluation<Key extends string> = {
	readonly crashes: ReadonlyArray<Crash<Key>>;
	readonly evidenceByKey: ReadonlyMap<Key, Evidence<Key>>;
};

/** Decides what the evidence against keys of one kind proves. */
export type EvidenceRule<Key extends string> = {
	/** Whether a complete answer refutes that a key caused a crash at `crashedAt`. */
	isCleared(key: Key, crashedAt: MonotonicMs): boolean;
	/** Finds the keys that the evidence identifies as the cause of crashes. */
	findCulprits(evaluation: Evaluation<Key>): Array<Evidence<Key>>;
	/** Whether so much speaks against a call with these keys that it is not sent to another target without being asked. */
	isSuspicious(keys: readonly Key[], evaluation: Evaluation<Key>): boolean;
	/** Orders evidence, the strongest first. */
	compareEvidence(a: Evidence<Key>, b: Evidence<Key>): number;
};

/** Minimum time from a crash to a later call, in milliseconds. Times that other instances report are off by the delay of their messages. */
const reportSkewMs = 20;

type CountedEvidence<Key extends string> = Evidence<Key> & {
	depth: number;
	sequentialCrashes: number;
	lastCountedAt: number;
	readonly crashList: Array<Crash<Key>>;
};

/** Collects what crashes, in the order of time, say about each key that `rule` does not clear of them. */
export function collectEvidence<Key extends string>(crashes: ReadonlyArray<Crash<Key>>, rule: Pick<EvidenceRule<Key>, 'isCleared'>): Evaluation<Key> {
	const evidenceByKey = new Map<Key, CountedEvidence<Key>>();
	for (const crash of crashes) {
		for (const key of crash.occurrences.keys()) {
			if (!rule.isCleared(key, crash.crashedAt)) {
				addEvidence(evidenceByKey, key, crash);
			}
		}
	}

	return {crashes, evidenceByKey};
}

function addEvidence<Key extends string>(evidenceByKey: Map<Key, CountedEvidence<Key>>, key: Key, crash: Crash<Key>): void {
	const {depth, sentAt} = crash.occurrences.get(key)!;
	const evidence = evidenceByKey.get(key) ?? {
		key, depth, sequentialCrashes: 0, lastCountedAt: Number.NEGATIVE_INFINITY, crashList: [],
	};
	evidenceByKey.set(key, evidence);
	evidence.depth = depth;
	evidence.crashList.push(crash);
	if (sentAt > evidence.lastCountedAt + reportSkewMs) {
		evidence.sequentialCrashes += 1;
		evidence.lastCountedAt = crash.crashedAt;
	}
}
