/** Measures how fast the calls of a service arrive and are sent, and forecasts from it how long calls wait. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import {DecayedRate, rateDecayMs} from '../decayed-rate/index.js';
import type {QueueForecast} from '../plan-admission/index.js';
import type {CallRank} from '../queued-call/index.js';
import type {WaitingLevels} from '../waiting-levels/index.js';

/** Time without waiting calls after which the rate of service no longer shows how much room there is, in milliseconds. */
const maximumIdleMs = 250;
/** Tokens sent in the last second or so, as a fraction of a call's cost, below which the service counts as standing still. */
const standstillFraction = 0.1;
/** Part of the rate of service by which it has to exceed the arrivals before the queue counts as shrinking. */
const drainMarginFraction = 0.1;
/** Part of the rate of service that is assumed to be left beside calls of higher priorities. */
const minimumLeftFraction = 0.05;

/** Rates of arriving calls by priority, and of sent calls, of one service at this instance. */
export class ServiceDemand {
	private readonly sent = new DecayedRate();
	private readonly arrivals = new Map<number, DecayedRate>();
	private busySince: MonotonicMs | undefined;
	private emptySince: MonotonicMs | undefined;

	/** Records a call that has arrived, whether it waits or not. */
	recordArrival(priority: number, tokens: number, now: MonotonicMs): void {
		const rate = this.arrivals.get(priority) ?? new DecayedRate();
		this.arrivals.set(priority, rate);
		rate.add(tokens, now);
	}

	/** Records a call that was sent. */
	recordSent(tokens: number, now: MonotonicMs): void {
		this.sent.add(tokens, now);
	}

	/** Records that calls wait. */
	recordWaiting(now: MonotonicMs): void {
		if (this.busySince === undefined || (this.emptySince !== undefined && now - this.emptySince > maximumIdleMs)) {
			this.busySince = now;
		}

		this.emptySince = undefined;
	}

	/** Records that no call waits any more. */
	recordEmpty(now: MonotonicMs): void {
		this.emptySince = now;
	}

	/**
	 * Forecasts the wait of a call. Until calls have waited for a while, the rate of service only shows how many arrived, and while
	 * the service stands still, as when its targets are silent for a second, it doesn't show when they go on.
	 */
	forecast(call: CallRank, levels: WaitingLevels, now: MonotonicMs): QueueForecast {
		const rate = this.sent.read(now);
		const standsStill = rate * rateDecayMs < call.costTokens * standstillFraction;
		if (this.busySince === undefined || now - this.busySince < rateDecayMs || standsStill) {
			return {waitMs: undefined, drainMs: undefined};
		}

		const left = Math.max(rate - this.readArrivals(call.priority - 1, now), rate * minimumLeftFraction);
		const surplus = rate - this.readArrivals(call.priority, now);
		return {
			waitMs: levels.sumTokensBefore(call) / left,
			drainMs: surplus > rate * drainMarginFraction ? levels.sumTokens(call.priority) / surplus : undefined,
		};
	}

	/** Returns the rate at which calls of the given priority and of higher ones arrive, in tokens per millisecond. */
	private readArrivals(lowestPriority: number, now: MonotonicMs): number {
		return [...this.arrivals].reduce((sum, [priority, rate]) => sum + (priority <= lowestPriority ? rate.read(now) : 0), 0);
	}
}
