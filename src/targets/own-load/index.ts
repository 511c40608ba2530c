/**
 * Estimates an engine's load from the engine's report, which lags, and from the router's own requests
 * that were sent or ended after the reported load was measured.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {EngineLoad} from '../engine-client/index.js';

/** One request of this router at an engine. */
export type OwnRequest = {
	/** Records the first chunk, which shows that the prompt has been computed. */
	recordFirstChunk(now: MonotonicMs): void;
	/** Records the end of the request, whatever its outcome. Later calls have no effect. */
	recordEnd(now: MonotonicMs): void;
};

/** Estimated load of an engine. */
export type EstimatedLoad = {
	/** Number of running and waiting requests. */
	readonly occupancy: number;
	readonly slots: number;
	/** Prompt tokens that the engine has not yet computed. */
	readonly pendingPrefillTokens: number;
	/** Time until another request gets a slot. */
	readonly slotWaitMs: number;
};

/** Options for estimating the load from a report. */
export type EstimateOptions = {readonly prefillTokensPerMs: number; readonly unreportedFactor: number};

type TrackedRequest = {readonly sentAt: number; readonly missingTokens: number; firstChunkAt?: number; endedAt?: number};

/** Time from first to last chunk that is assumed until the first request has ended. */
const initialDecodeMs = 1000;
/** Weight of the latest request in the moving average of the decode time. */
const decodeSmoothingFactor = 0.1;

/** Tracks the router's own requests at one engine. */
export class OwnLoad {
	private meanDecodeMs = initialDecodeMs;
	private readonly requests = new Set<TrackedRequest>();

	/** Starts to track a request with `missingTokens` prompt tokens that the engine has not cached. */
	beginRequest(missingTokens: number, now: MonotonicMs): OwnRequest {
		const updateMeanDecode = (decodeMs: number) => {
			this.meanDecodeMs += decodeSmoothingFactor * (decodeMs - this.meanDecodeMs);
		};

		const request: TrackedRequest = {sentAt: now, missingTokens};
		this.requests.add(request);
		return {
			recordFirstChunk(at) {
				request.firstChunkAt ??= at;
			},
			recordEnd(at) {
				if (request.endedAt === undefined && request.firstChunkAt !== undefined) {
					updateMeanDecode(at - request.firstChunkAt);
				}

				request.endedAt ??= at;
			},
		};
	}

	/** Counts the requests that have not ended. */
	countInFlight(): number {
		return [...this.requests].filter(request => request.endedAt === undefined).length;
	}

	/** Removes ended requests that a report measured at `measuredAt` no longer contains. */
	prune(measuredAt: number): void {
		for (const request of this.requests) {
			if (request.endedAt !== undefined && request.endedAt <= measuredAt) {
				this.requests.delete(request);
			}
		}
	}

	/**
	 * Estimates the load at `now` from a report measured at `measuredAt`. Requests that this router
	 * sent since then count `unreportedFactor` times, to allow for the requests that other routers sent.
	 */
	estimate(report: EngineLoad, measuredAt: number, now: MonotonicMs, options: EstimateOptions): EstimatedLoad {
		const {prefillTokensPerMs, unreportedFactor} = options;
		let occupancy = report.running + report.waiting;
		// The engine has continued to compute prompts since the report was measured.
		let pendingTokens = Math.max(0, report.pendingPrefillTokens - ((now - measuredAt) * prefillTokensPerMs));
		for (const request of this.requests) {
			const isReported = request.sentAt < measuredAt;
			const hasEnded = request.endedAt !== undefined;
			if (isReported && hasEnded) {
				occupancy -= 1;
			} else if (!isReported && !hasEnded) {
				occupancy += unreportedFactor;
				pendingTokens += request.firstChunkAt === undefined ? request.missingTokens * unreportedFactor : 0;
			}
		}

		occupancy = Math.max(0, occupancy);
		const excessRequests = Math.max(0, occupancy + 1 - report.slots);
		return {
			occupancy, slots: report.slots, pendingPrefillTokens: pendingTokens, slotWaitMs: excessRequests * this.meanDecodeMs / report.slots,
		};
	}
}
