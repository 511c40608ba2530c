/** The planned stop of a daemon: leave, keep accepting, drain, release, in this order. */

import type {Clock} from '../../clock/clock/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';

/** How the stop ended. */
export type StopOutcome = 'drained' | 'cutShort';

/** What the stop works on. */
export type PlannedStopOptions = {
	readonly clock: Clock;
	readonly logger: EventLogger;
	/** Time for which callers may keep an address, in milliseconds. */
	readonly addressValidityMs: number;
	readonly marginMs: number;
	/** Time after which the rest of the requests is given up, in milliseconds. */
	readonly maximumMs: number;
	/** Marks the instance as leaving in heartbeats and address answers. */
	readonly leave: () => void;
	/** Closes the listener and resolves when the last request has been served. */
	readonly drain: () => Promise<void>;
	/** Ends the requests that are still being served. */
	readonly cut: () => void;
	/** Releases leases and all other parts. */
	readonly release: () => Promise<void>;
};

/** A planned stop in progress. */
export class PlannedStop {
	private readonly controller = new AbortController();
	private running: Promise<StopOutcome> | undefined;

	constructor(private readonly options: PlannedStopOptions) {}

	/** Stops the daemon; a later call returns the stop in progress. */
	async run(): Promise<StopOutcome> {
		this.running ??= this.stop();
		return this.running;
	}

	/** Gives up waiting for callers and requests. */
	hurry(): void {
		this.controller.abort();
	}

	private async stop(): Promise<StopOutcome> {
		const {clock, logger, addressValidityMs, marginMs, maximumMs} = this.options;
		const {signal} = this.controller;
		this.options.leave();
		logger.info('planned stop began', {acceptingMs: addressValidityMs + marginMs});
		const limit = clock.sleep(maximumMs, signal);
		await Promise.race([clock.sleep(addressValidityMs + marginMs, signal), limit]);
		const outcome = await Promise.race([this.drain(), limit.then((): StopOutcome => 'cutShort')]);
		if (outcome === 'cutShort') {
			logger.warn('planned stop cut short', {reason: signal.aborted ? 'second signal' : 'maximum time passed'});
			this.options.cut();
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
