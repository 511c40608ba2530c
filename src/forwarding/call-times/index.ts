/** Stage timings of a call, for its log line. */

import type {MonotonicMs} from '../../identity/ids/index.js';

/** Times since the arrival of the call, in whole milliseconds; undefined for stages that were not reached. */
export type StageTimes = {
	readonly sentMs: number | undefined;
	readonly firstMs: number | undefined;
	readonly lastMs: number | undefined;
	readonly durationMs: number;
	/** Time in the admission queue, over all attempts; undefined for a call that has not waited there. */
	readonly waitedMs: number | undefined;
	/** What kept the call back when it last began to wait there. */
	readonly waitedFor: WaitObstacle | undefined;
};

/**
 * What a call in the admission queue waits for. `turn`: calls that go before it; `room`: memory of an engine; `pace`: an engine that
 * would begin to answer in time; `target`: a target at all, the end of pauses or limits, or one that can continue its stream.
 */
export type WaitObstacle = 'turn' | 'room' | 'pace' | 'target';

/** Records the stage timings of one call. */
export class CallTimes {
	private firstSentAt: MonotonicMs | undefined;
	private firstChunkAt: MonotonicMs | undefined;
	private lastChunkAt: MonotonicMs | undefined;

	private waitedMs: number | undefined;
	private waitingSince: MonotonicMs | undefined;
	private waitedFor: WaitObstacle | undefined;

	constructor(private readonly arrivedAt: MonotonicMs) {}

	/** Records the time of the first attempt. */
	recordSent(now: MonotonicMs): void {
		this.firstSentAt ??= now;
	}

	/** Records the arrival of a chunk of a response body. */
	recordChunk(now: MonotonicMs): void {
		this.firstChunkAt ??= now;
		this.lastChunkAt = now;
	}

	/** Records that the call waits for a target. */
	recordWait(obstacle: WaitObstacle, now: MonotonicMs): void {
		this.waitedFor = obstacle;
		this.waitingSince ??= now;
	}

	/** Records the end of the wait, if there is one. */
	recordWaitEnd(now: MonotonicMs): void {
		if (this.waitingSince !== undefined) {
			this.waitedMs = (this.waitedMs ?? 0) + now - this.waitingSince;
			this.waitingSince = undefined;
		}
	}

	summarise(now: MonotonicMs): StageTimes {
		const toMsSinceArrival = (at: MonotonicMs | undefined) => at === undefined ? undefined : Math.round(at - this.arrivedAt);
		return {
			sentMs: toMsSinceArrival(this.firstSentAt),
			firstMs: toMsSinceArrival(this.firstChunkAt),
			lastMs: toMsSinceArrival(this.lastChunkAt),
			durationMs: Math.round(now - this.arrivedAt),
			waitedMs: this.waitedMs === undefined ? undefined : Math.round(this.waitedMs),
			waitedFor: this.waitedFor,
		};
	}
}
