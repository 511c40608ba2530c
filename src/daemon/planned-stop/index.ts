/** Planned (graceful) stop of a daemon: leaves, accepts requests for a while, drains, then releases. */

import type {Clock} from '../../clock/clock/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';

/** How the stop ended. */
export type StopOutcome = 'drained' | 'cutShort';

/** Options of a planned stop. */
export type PlannedStopOptions = {
	readonly clock: Clock;
	readonly logger: EventLogger;
	/** Time for which callers may cache an address. */
	readonly addressValidityMs: number;
	/** Time beyond `addressValidityMs` for which the instance still accepts requests. */
	readonly marginMs: number;
	/** Time after which the remaining requests are aborted. */
	readonly maximumMs: number;
	/** Marks the instance as leaving in heartbeats and address answers. */
	readonly leave: () => void;
	/** Closes the listener and resolves when the last request has been served. */
	readonly drain: () => Promise<void>;
	/** Aborts the requests that are still in flight. */
	readonly abortRequests: () => void;
	/** Releases leases and stops all other components. */
	readonly release: () => Promise<void>;
};

/** Planned stop of a daemon, which runs once. */
export class PlannedStop {
	private readonly controller = new AbortController();
	private stopInProgress: Promise<StopOutcome> | undefined;

	constructor(private readonly options: PlannedStopOptions) {}

	/** Starts the stop, or returns the one in progress. */
	async run(): Promise<StopOutcome> {
		this.stopInProgress ??= this.stop();
		return this.stopInProgress;
	}

	/** Ends the stop without waiting for callers and requests. */
	force(): void {
		this.controller.abort();
	}

	private async stop(): Promise<StopOutcome> {
		const {clock, logger, addressValidityMs, marginMs, maximumMs} = this.options;
		const {signal} = this.controller;
		this.options.leave();
		logger.info('planned stop began', {acceptingMs: addressValidityMs + marginMs});
		const deadline = clock.sleep(maximumMs, signal);
		await Promise.race([clock.sleep(addressValidityMs + marginMs, signal), deadline]);
		const outcome = await Promise.race([this.drain(), deadline.then((): StopOutcome => 'cutShort')]);
		if (outcome === 'cutShort') {
			logger.warn('planned stop cut short', {reason: signal.aborted ? 'second signal' : 'maximum time passed'});
			this.options.abortRequests();
		}

		this.controller.abort();
		await this.options.release();
		logger.info('daemon stopped', {outcome});
		return outcome;
	}

	private async drain(): Promise<StopOutcome> {
		await this.options.drain();
		return 'drained';
	}
}
