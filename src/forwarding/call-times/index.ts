/** When a call reached its stages, for its log line. */

import type {MonotonicMs} from '../../identity/ids/index.js';

/** Times since the arrival, in whole milliseconds; undefined for stages that were not reached. */
export type StageTimes = {
	readonly sentMs: number | undefined;
	readonly firstMs: number | undefined;
	readonly lastMs: number | undefined;
	readonly durationMs: number;
};

/** Collects the times of one call. */
export class CallTimes {
	private sentAt: MonotonicMs | undefined;
	private firstAt: MonotonicMs | undefined;
	private lastAt: MonotonicMs | undefined;

	constructor(private readonly arrivedAt: MonotonicMs) {}

	/** Notes that the call was sent to a target. */
	recordSent(now: MonotonicMs): void {
		this.sentAt ??= now;
	}

	/** Notes that bytes of an answer arrived. */
	recordChunk(now: MonotonicMs): void {
		this.firstAt ??= now;
		this.lastAt = now;
	}

	summarize(now: MonotonicMs): StageTimes {
		const measure = (at: MonotonicMs | undefined) => at === undefined ? undefined : Math.round(at - this.arrivedAt);
		return {
			sentMs: measure(this.sentAt), firstMs: measure(this.firstAt), lastMs: measure(this.lastAt), durationMs: Math.round(now - this.arrivedAt),
		};
	}
}
