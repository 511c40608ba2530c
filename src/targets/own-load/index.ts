/**
 * Load of an engine as one router estimates it: the engine's report, which lags, corrected by the
 * router's own requests that were sent or ended after the moment the report describes.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {EngineLoad} from '../engine-client/index.js';

/** One request of this router at an engine. */
export type OwnRequest = {
	/** Notes the first chunk: the prompt has been computed. */
	noteFirstChunk(now: MonotonicMs): void;
	/** Notes the end of the request, whatever its outcome. Later calls have no effect. */
	noteEnded(now: MonotonicMs): void;
};

/** Estimated load. */
export type EstimatedLoad = {
	/** Running and waiting requests. */
	readonly occupancy: number;
	readonly slots: number;
	/** Prompt tokens that the engine has yet to compute. */
	readonly pendingPrefillTokens: number;
	/** Time until a further request gets a slot. */
	readonly slotWaitMs: number;
};

/** How a report is extrapolated. */
export type EstimateOptions = {readonly prefillTokensPerMs: number; readonly unreportedFactor: number};

type Item = {readonly sentAt: number; readonly missingTokens: number; firstChunkAt?: number; endedAt?: number};

/** Time from first to last chunk that is assumed before the first request has ended. */
const initialDecodeMs = 1000;
/** Weight of the latest request in the mean decode time. */
const smoothing = 0.1;

/** The router's own requests at one engine. */
export class OwnLoad {
	private decodeMs = initialDecodeMs;
	private readonly items = new Set<Item>();

	/** Notes a request that is being sent and lacks `missingTokens` in the engine's cache. */
	beginRequest(missingTokens: number, now: MonotonicMs): OwnRequest {
		const noteDecode = (decodeMs: number) => {
			this.decodeMs += smoothing * (decodeMs - this.decodeMs);
		};

		const item: Item = {sentAt: now, missingTokens};
		this.items.add(item);
		return {
			noteFirstChunk(at) {
				item.firstChunkAt ??= at;
			},
			noteEnded(at) {
				if (item.endedAt === undefined && item.firstChunkAt !== undefined) {
					noteDecode(at - item.firstChunkAt);
				}

				item.endedAt ??= at;
			},
		};
	}

	/** Counts the requests that have not ended. */
	countInFlight(): number {
		return [...this.items].filter(item => item.endedAt === undefined).length;
	}

	/** Forgets ended requests that a report of the moment `describedAt` no longer contains. */
	prune(describedAt: number): void {
		for (const item of this.items) {
			if (item.endedAt !== undefined && item.endedAt <= describedAt) {
				this.items.delete(item);
			}
		}
	}

	/**
	 * Estimates the load at `now` from a report that describes the moment `describedAt`. What this
	 * router sent since then counts `unreportedFactor` times, as an estimate of what others sent.
	 */
	estimate(report: EngineLoad, describedAt: number, now: MonotonicMs, options: EstimateOptions): EstimatedLoad {
		const {prefillTokensPerMs, unreportedFactor} = options;
		let occupancy = report.running + report.waiting;
		// The engine has worked since the report was made.
		let pending = Math.max(0, report.pendingPrefillTokens - ((now - describedAt) * prefillTokensPerMs));
		for (const item of this.items) {
			const isReported = item.sentAt < describedAt;
			const isEnded = item.endedAt !== undefined;
			if (isReported && isEnded) {
				occupancy -= 1;
			} else if (!isReported && !isEnded) {
				occupancy += unreportedFactor;
				pending += item.firstChunkAt === undefined ? item.missingTokens * unreportedFactor : 0;
			}
		}

		occupancy = Math.max(0, occupancy);
		const excess = Math.max(0, occupancy + 1 - report.slots);
		return {
			occupancy, slots: report.slots, pendingPrefillTokens: pending, slotWaitMs: excess * this.decodeMs / report.slots,
		};
	}
}
