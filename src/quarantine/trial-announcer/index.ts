/** Asks the other instances for the trial of a key on probation: announces it, and waits for objections. */

import type {Clock} from '../../clock/clock/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import {objectionMs, TrialRegister, type Trial} from '../trial-register/index.js';

/** Options of `TrialAnnouncer`. */
export type TrialAnnouncerOptions<Key extends string> = {
	readonly clock: Clock;
	readonly self: InstanceId;
	readonly isOnProbation: (key: Key, now: MonotonicMs) => boolean;
	/** Tells the other instances of a trial that this one wants to make. */
	readonly announce: (key: Key, trial: Trial) => void;
	/** Logs whether this instance may make a trial for which it asked. */
	readonly logOutcome: (key: Key, outcome: string) => void;
};

/** Trials that this instance wants to make, and those of others. */
export class TrialAnnouncer<Key extends string> {
	private readonly trials = new TrialRegister<Key>();

	constructor(private readonly options: TrialAnnouncerOptions<Key>) {}

	/** Asks for the trial of a key; resolves to whether this instance may make it. */
	async begin(key: Key): Promise<boolean> {
		const {clock, self, isOnProbation, announce, logOutcome} = this.options;
		const now = clock.readMonotonic();
		const trial = isOnProbation(key, now) ? this.trials.begin(key, self, now) : undefined;
		if (trial === undefined) {
			return false;
		}

		announce(key, trial);
		await clock.sleep(objectionMs);
		const isGranted = this.trials.holds(key, trial) && isOnProbation(key, clock.readMonotonic());
		logOutcome(key, isGranted ? 'granted' : 'left to another instance');
		return isGranted;
	}

	/** Records the trial that another instance announced. */
	record(key: Key, trial: Trial): void {
		this.trials.record(key, trial);
	}
}
