/**
 * Notices that the process has not run for a while: it was stopped, its machine was suspended, or its event loop was
 * blocked. What other instances know by then is not yet known here, although no connection has failed.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {MonotonicMs, WallMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';

/** Interval of the checks, in milliseconds. */
const checkIntervalMs = 500;
/** Delay of a check above which the process counts as having stood still, in milliseconds. */
const standstillMs = 700;

/** Options of `StandstillMonitor`. */
export type StandstillMonitorOptions = {
	readonly clock: Clock;
	readonly logger: EventLogger;
	/** Called with the milliseconds that the wall clock counted and the monotonic one did not: a suspension, or a step of the wall clock. */
	readonly onUncountedTime: (ms: number) => void;
};

/** Logs each standstill, with its duration on both clocks, and reports time that the monotonic clock did not count. */
export class StandstillMonitor {
	private checkedAt: {readonly monotonic: MonotonicMs; readonly wall: WallMs} | undefined;

	constructor(private readonly options: StandstillMonitorOptions) {}

	/** Checks at intervals until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock} = this.options;
		while (!signal.aborted) {
			this.check(clock.readMonotonic(), clock.readWall());
			await clock.sleep(checkIntervalMs, signal);
		}
	}

	/** Checks how much later than planned this check is. */
	check(monotonic: MonotonicMs, wall: WallMs): void {
		const previous = this.checkedAt;
		this.checkedAt = {monotonic, wall};
		if (previous === undefined) {
			return;
		}

		const monotonicMs = Math.round(monotonic - previous.monotonic) - checkIntervalMs;
		const wallMs = Math.round(wall - previous.wall) - checkIntervalMs;
		if (Math.max(monotonicMs, wallMs) > standstillMs) {
			this.options.logger.warn('process stood still', {monotonicMs, wallMs});
		}

		if (wallMs - monotonicMs > standstillMs) {
			this.options.onUncountedTime(wallMs - monotonicMs);
		}
	}
}
