/**
 * Issues permits for requests to targets that state a limit.
 *
 * For each target, one instance issues all permits, first come, first served, at the rate that the target states. An
 * instance that has just become the issuer starts at a part of the rate, because the one before may not know of it yet.
 */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import {RequestPacer} from '../request-pacer/index.js';

/** A request of an instance for permits. */
export type PermitAsk = {
	readonly asker: InstanceId;
	/** Number of the ask, by which the asker recognises the answer. */
	readonly number: number;
	/** Number of permits that the asker can use. */
	readonly count: number;
	readonly expiresAt: MonotonicMs;
};

/** Permits for one ask. */
export type PermitGrant = {readonly target: FleetTarget; readonly ask: PermitAsk; readonly count: number};

/** Lowest rate at which permits are issued, in requests per second: only an answer shows that a limit has ended. */
const minimumRequestsPerSecond = 0.2;
/** Time after which an earlier issuer has noticed that it is no longer the issuer, in milliseconds. */
const takeoverMs = 5000;
/** Part of the rate that is issued until then: two issuers together stay within one and a half times the limit. */
const takeoverShare = 0.25;

type Queue = {readonly pacer: RequestPacer; readonly since: MonotonicMs; readonly asks: Map<InstanceId, PermitAsk>};

/** Queues of the targets for which this instance issues permits. */
export class PermitIssuer {
	private readonly queues = new Map<FleetTarget, Queue>();

	get targetCount(): number {
		return this.queues.size;
	}

	/** Adds an ask; a later one of the same asker replaces it and keeps its place. Returns the estimated wait in milliseconds. */
	addAsk(target: FleetTarget, ask: PermitAsk, now: MonotonicMs): number {
		const queue = this.getQueue(target, now);
		queue.asks.set(ask.asker, ask);
		queue.pacer.setRate(calculateRate(target, queue.since, now), now);
		let permitsAhead = 1;
		for (const [asker, {count}] of queue.asks) {
			if (asker === ask.asker) {
				break;
			}

			permitsAhead += Math.min(count, Math.floor(queue.pacer.capacity));
		}

		return queue.pacer.calculateWaitMs(permitsAhead, now);
	}

	/** Returns the permits that are due. `isIssuer` tells whether this instance still issues the permits of a target. */
	issue(isIssuer: (target: FleetTarget) => boolean, now: MonotonicMs): PermitGrant[] {
		const grants: PermitGrant[] = [];
		for (const [target, queue] of this.queues) {
			if (target.limit.read() === undefined || !isIssuer(target)) {
				this.queues.delete(target);
				continue;
			}

			queue.pacer.setRate(calculateRate(target, queue.since, now), now);
			grants.push(...issueFrom(target, queue, now));
		}

		return grants;
	}

	/** Calculates the time until the next permit is due, in milliseconds; undefined if none is asked for. */
	calculateWaitMs(now: MonotonicMs): number | undefined {
		const waits = [...this.queues.values()].filter(({asks}) => asks.size > 0).map(({pacer}) => pacer.calculateWaitMs(1, now));
		return waits.length === 0 ? undefined : Math.min(...waits);
	}

	private getQueue(target: FleetTarget, now: MonotonicMs): Queue {
		let queue = this.queues.get(target);
		if (queue === undefined) {
			queue = {pacer: new RequestPacer(calculateRate(target, now, now), now), since: now, asks: new Map()};
			this.queues.set(target, queue);
		}

		return queue;
	}
}

function issueFrom(target: FleetTarget, {asks, pacer}: Queue, now: MonotonicMs): PermitGrant[] {
	const grants: PermitGrant[] = [];
	for (const [asker, ask] of asks) {
		if (now >= ask.expiresAt) {
			asks.delete(asker);
			continue;
		}

		const count = pacer.take(ask.count, now);
		if (count === 0) {
			break;
		}

		asks.delete(asker);
		grants.push({target, ask, count});
	}

	return grants;
}

/** Calculates the rate at which permits for a target are issued, in requests per second, by an issuer since `since`. */
function calculateRate(target: FleetTarget, since: MonotonicMs, now: MonotonicMs): number {
	const limit = Math.max(minimumRequestsPerSecond, target.limit.read() ?? 0);
	return now - since < takeoverMs ? limit * takeoverShare : limit;
}
