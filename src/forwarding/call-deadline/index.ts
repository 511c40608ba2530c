/**
 * Until when a call has to be answered: what its caller waits, or what its route allows if that is less.
 *
 * A changed timeout of the route applies to a call in progress only if it gives the call more time. An answer that has begun
 * can't be refused any more, and a shorter timeout would break off what the operator allowed when the call arrived.
 */

import type {Clock} from '../../clock/clock/index.js';
import {waitForArrivedData} from '../../http/wait-for-arrived-data/index.js';
import type {MonotonicMs, RouteId} from '../../identity/ids/index.js';
import type {Route} from '../../routing/routing-types/index.js';
import {calculateCallDeadline} from '../calculate-call-deadline/index.js';
import type {InboundCall} from '../call-types/index.js';

/** A call, its route when it arrived, and when that was. */
export type DeadlineOptions = {
	readonly call: Pick<InboundCall, 'waitMs'>;
	readonly route: Pick<Route, 'id' | 'kind' | 'timeoutMs'>;
	readonly arrivedAt: MonotonicMs;
};

/** Deadline of one call. */
export class CallDeadline {
	private time: MonotonicMs;
	private timer: NodeJS.Timeout | undefined;
	private onExpired: (() => void) | undefined;

	constructor(private readonly options: DeadlineOptions, private readonly clock: Pick<Clock, 'readMonotonic'>) {
		const {call, route, arrivedAt} = options;
		this.time = calculateCallDeadline(call, route, arrivedAt);
	}

	/** The route of the call. */
	get routeId(): RouteId {
		return this.options.route.id;
	}

	/** Time from the arrival of the call to the deadline in force, in whole milliseconds. */
	get timeoutMs(): number {
		return Math.round(this.time - this.options.arrivedAt);
	}

	/** Returns the deadline in force. */
	read(): MonotonicMs {
		return this.time;
	}

	/**
	 * Measures the time for which a target, or another instance, may work on the call, in milliseconds. For a stream it is what the
	 * caller waits, so that the work on it doesn't end at a timeout of the route that a change has raised meanwhile.
	 */
	measureWorkMs(now: MonotonicMs): number {
		const {call: {waitMs}, route: {kind}, arrivedAt} = this.options;
		return (kind === 'streaming' && waitMs !== undefined ? arrivedAt + waitMs : this.time) - now;
	}

	/** Calls `onExpired` once the deadline in force has passed, until `stop` is called. */
	start(onExpired: () => void): void {
		this.onExpired = onExpired;
		this.schedule();
	}

	/** Ends the wait for the deadline. */
	stop(): void {
		clearTimeout(this.timer);
		this.onExpired = undefined;
	}

	/** Applies the timeout of the changed route. Returns whether the call has more time by it. */
	extend({timeoutMs}: Pick<Route, 'timeoutMs'>): boolean {
		const {call, arrivedAt} = this.options;
		const time = calculateCallDeadline(call, {timeoutMs}, arrivedAt);
		if (time <= this.time) {
			return false;
		}

		this.time = time;
		if (this.onExpired !== undefined) {
			this.schedule();
		}

		return true;
	}

	private schedule(): void {
		clearTimeout(this.timer);
		this.timer = setTimeout(() => {
			void this.handleTimer();
		}, Math.max(0, this.time - this.clock.readMonotonic()));
	}

	/** Ends the wait unless an answer, or a configuration that extends the deadline, had arrived and waited unread, as after a late turn of the event loop. */
	private async handleTimer(): Promise<void> {
		await waitForArrivedData();
		if (this.onExpired === undefined) {
			return;
		}

		if (this.clock.readMonotonic() < this.time) {
			this.schedule();
		} else {
			this.onExpired();
		}
	}
}
