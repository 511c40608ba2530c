/**
 * Decides which instance sends a call with a key on probation, a prompt part or a whole request, to one target. An instance
 * announces its trial and waits; of two that announce one before they hear of each other, the one with the lower id makes it.
 */

import {LRUCache} from 'lru-cache';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';

/** Time for which an instance that wants to make a trial waits for objections of others, in milliseconds. */
export const objectionMs = 300;
/** Minimum time between two trials of a key, in milliseconds. One that had no complete answer by then has failed. */
export const trialIntervalMs = 5000;
const maximumTrials = 1000;

/** An announced trial. */
export type Trial = {readonly instance: InstanceId; readonly announcedAt: MonotonicMs};

/** Trials by key, as known to one instance. */
export class TrialRegister<Key extends string> {
	private readonly trials = new LRUCache<Key, Trial>({max: maximumTrials});

	/** Begins a trial of this instance; undefined if one was made or announced a short time ago. */
	begin(key: Key, instance: InstanceId, now: MonotonicMs): Trial | undefined {
		const known = this.trials.get(key);
		if (known !== undefined && now - known.announcedAt < trialIntervalMs) {
			return undefined;
		}

		const trial: Trial = {instance, announcedAt: now};
		this.trials.set(key, trial);
		return trial;
	}

	/** Records the trial of another instance. */
	record(key: Key, trial: Trial): void {
		const known = this.trials.get(key);
		const isOlder = known === undefined || trial.announcedAt - known.announcedAt >= trialIntervalMs;
		if (isOlder || trial.instance < known.instance) {
			this.trials.set(key, trial);
		}
	}

	/** Whether no other instance makes the trial in place of this one. */
	holds(key: Key, trial: Trial): boolean {
		return this.trials.get(key) === trial;
	}
}
