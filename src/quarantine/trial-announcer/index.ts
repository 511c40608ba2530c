/** Asks the other instances for the trial of a request on probation: announces it, and waits for objections. */

import type {Clock} from '../../clock/clock/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {RequestKey} from '../request-key/index.js';
import {objectionMs, RequestTrials, type Trial} from '../request-trials/index.js';

/** Options of `TrialAnnouncer`. */
export type TrialAnnouncerOptions = {
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly self: InstanceId;
	readonly isOnProbation: (key: RequestKey, now: MonotonicMs) => boolean;
	/** Tells the other instances of a trial that this one wants to make. */
	readonly announce: (key: RequestKey, trial: Trial) => void;
};

/** Trials that this instance wants to make, and those of others. */
export class TrialAnnouncer {
	private readonly trials = new RequestTrials();

	constructor(private readonly options: TrialAnnouncerOptions) {}

	/** Asks for the trial of a request; resolves to whether this instance may make it. */
	async begin(key: RequestKey): Promise<boolean> {
		const {clock, logger, self, isOnProbation, announce} = this.options;
		const now = clock.readMonotonic();
		const trial = isOnProbation(key, now) ? this.trials.begin(key, self, now) : undefined;
		if (trial === undefined) {
			return false;
		}

		announce(key, trial);
		await clock.sleep(objectionMs);
		const isGranted = this.trials.holds(key, trial) && isOnProbation(key, clock.readMonotonic());
		logger.info('request trial', {request: key, outcome: isGranted ? 'granted' : 'left to another instance'});
		return isGranted;
	}

	/** Records the trial that another instance announced. */
	record(key: RequestKey, trial: Trial): void {
		this.trials.record(key, trial);
	}
}
