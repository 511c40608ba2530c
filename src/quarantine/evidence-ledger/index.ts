/**
 * Records the recent crashes of targets and the keys of the calls that ran there, and evaluates them by the rule of their
 * kind. Crashes with a known culprit speak against no other key.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import {
	collectEvidence, type Crash, type CrashedCall, type CrashedTarget, type Evaluation, type Evidence, type EvidenceRule,
} from '../crash-evidence/index.js';

/** Tells whether a key is known to crash targets, which explains a crash with it. */
export type CulpritLookup<Key extends string> = (key: Key) => boolean;

/** Options of `EvidenceLedger`. */
export type EvidenceLedgerOptions<Key extends string> = {
	readonly rule: EvidenceRule<Key>;
	/** Time for which a crash is evidence, in milliseconds. */
	readonly validityMs: number;
	readonly maximumCrashes: number;
	readonly maximumKeysPerCrash: number;
};

/** Recent crashes and what they say about keys of one kind. */
export class EvidenceLedger<Key extends string> {
	/** By incarnation in the order of their arrival, so that the reports of several instances are merged. */
	private readonly crashes = new Map<string, Crash<Key>>();

	constructor(private readonly options: EvidenceLedgerOptions<Key>) {}

	/** Whether there is no evidence against any key. */
	get isEmpty(): boolean {
		return this.crashes.size === 0;
	}

	/**
	 * Records a crash, or adds the calls of a further report of the same crash. Calls that were sent after it broke for
	 * another reason, such as a reset of their connection, and are left out. Returns whether the crash is new.
	 */
	recordCrash({target, startedAt, crashedAt}: CrashedTarget, calls: ReadonlyArray<CrashedCall<Key>>, now: MonotonicMs): boolean {
		const id = `${target} ${startedAt}`;
		const known = this.crashes.get(id);
		if (known === undefined) {
			this.dropOldCrashes(now);
		}

		const crash: Crash<Key> = known ?? {crashedAt, occurrences: new Map()};
		this.crashes.set(id, crash);
		for (const call of calls.filter(({sentAt}) => sentAt <= crash.crashedAt)) {
			this.addCall(crash, call);
		}

		return known === undefined;
	}

	/** Forgets the crashes with a key. */
	forgetCrashes(key: Key): void {
		for (const [id, {occurrences}] of this.crashes) {
			if (occurrences.has(key)) {
				this.crashes.delete(id);
			}
		}
	}

	/** Takes a key out of the crashes until `endedAt`. Returns whether there were any. */
	removeKey(key: Key, endedAt: number): boolean {
		let isRemoved = false;
		for (const {crashedAt, occurrences} of this.crashes.values()) {
			if (crashedAt <= endedAt) {
				isRemoved = occurrences.delete(key) || isRemoved;
			}
		}

		return isRemoved;
	}

	/** Whether a complete answer at `endedAt` is the first that clears a key of a crash. */
	isClearedBy(key: Key, endedAt: MonotonicMs): boolean {
		const {rule, validityMs} = this.options;
		return [...this.crashes.values()].some(({crashedAt, occurrences}) => occurrences.has(key)
			&& crashedAt < endedAt && endedAt - crashedAt <= validityMs && !rule.isCleared(key, crashedAt));
	}

	/** Finds the keys that the evidence identifies. */
	findCulprits(isCulprit: CulpritLookup<Key>, now: MonotonicMs): Array<Evidence<Key>> {
		return this.options.rule.findCulprits(this.evaluate(isCulprit, now));
	}

	/** Lists the keys with crashes that no known culprit explains, those with the strongest evidence first. */
	listEvidence(isCulprit: CulpritLookup<Key>, now: MonotonicMs): Array<Evidence<Key>> {
		const {rule} = this.options;
		return [...this.evaluate(isCulprit, now).evidenceByKey.values()].toSorted((a, b) => rule.compareEvidence(a, b));
	}

	/** Whether a call with these keys is not sent to another target without being asked. */
	isSuspicious(keys: readonly Key[], isCulprit: CulpritLookup<Key>, now: MonotonicMs): boolean {
		return this.options.rule.isSuspicious(keys, this.evaluate(isCulprit, now));
	}

	/** Evaluates the crashes that no known culprit explains. */
	evaluate(isCulprit: CulpritLookup<Key>, now: MonotonicMs): Evaluation<Key> {
		const crashes = [...this.crashes.values()]
			.filter(({crashedAt, occurrences}) => now - crashedAt <= this.options.validityMs && ![...occurrences.keys()].some(key => isCulprit(key)))
			.toSorted((a, b) => a.crashedAt - b.crashedAt);
		return collectEvidence(crashes, this.options.rule);
	}

	private addCall({occurrences}: Crash<Key>, {keys, sentAt}: CrashedCall<Key>): void {
		for (const [depth, key] of keys.entries()) {
			const known = occurrences.get(key);
			if (known !== undefined || occurrences.size < this.options.maximumKeysPerCrash) {
				const precedingKeys = keys.slice(0, depth).filter(other => known?.precedingKeys.includes(other) ?? true);
				occurrences.set(key, {depth, precedingKeys, sentAt: Math.max(sentAt, known?.sentAt ?? sentAt) as MonotonicMs});
			}
		}
	}

	private dropOldCrashes(now: MonotonicMs): void {
		const {validityMs, maximumCrashes} = this.options;
		for (const [id, {crashedAt}] of this.crashes) {
			if (now - crashedAt > validityMs || this.crashes.size >= maximumCrashes) {
				this.crashes.delete(id);
			}
		}
	}
}
