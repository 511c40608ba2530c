/**
 * Issues permits for requests to targets that state a limit or that they are brittle.
 *
 * For each target, one instance issues all permits, first come, first served, at the rate that the target states, or that
 * its refusals allow. An instance that has just become the issuer starts at a part of the rate, because the one before may
 * not know of it yet.
 */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import {BrittleRate} from '../brittle-rate/index.js';
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
/** Time for which unused requests to a brittle target are saved up, in milliseconds: saved ones may all be refused together. */
const brittleSavedMs = 10;
/** Rate of a target without a limit; finite, since rates are multiplied by times that may be 0. */
const unlimitedRate = Number.MAX_SAFE_INTEGER;

type Queue = {
	readonly pacer: RequestPacer;
	readonly since: MonotonicMs;
	readonly asks: Map<InstanceId, PermitAsk>;
	/** Rate that is learned if the target is brittle; undefined if it was not when the queue was created. */
	readonly brittleRate: BrittleRate | undefined;
};

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
		updateRate(target, queue, now);
		let permitsAhead = 1;
		for (const [asker, {count}] of queue.asks) {
			if (asker === ask.asker) {
				break;
			}

			permitsAhead += Math.min(count, Math.floor(queue.pacer.capacity));
		}

		return queue.pacer.calculateWaitMs(permitsAhead, now);
	}

	/** Takes permits back that were not used. */
	refund(target: FleetTarget, count: number, now: MonotonicMs): void {
		this.queues.get(target)?.pacer.refund(count, now);
	}

	/** Records that a brittle target has refused a request for want of room. */
	recordRefused(target: FleetTarget, now: MonotonicMs): void {
		const {pacer, brittleRate} = this.getQueue(target, now);
		brittleRate?.recordRefused(now);
		if (brittleRate?.isHoldingBack(target.brittleness.read() ?? 0, now)) {
			pacer.clear(now);
		}
	}

	/** Returns the permits that are due. `isIssuer` tells whether this instance still issues the permits of a target. */
	issue(isIssuer: (target: FleetTarget) => boolean, now: MonotonicMs): PermitGrant[] {
		const grants: PermitGrant[] = [];
		for (const target of this.queues.keys()) {
			if (!target.needsPermit || !isIssuer(target)) {
				this.queues.delete(target);
				continue;
			}

			const queue = this.getQueue(target, now);
			updateRate(target, queue, now);
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
		const existing = this.queues.get(target);
		const isBrittle = target.brittleness.read() !== undefined;
		if (existing !== undefined && (existing.brittleRate !== undefined) === isBrittle) {
			return existing;
		}

		const queue: Queue = {
			pacer: new RequestPacer(0, now, isBrittle ? brittleSavedMs : undefined),
			brittleRate: isBrittle ? new BrittleRate(now) : undefined,
			since: existing?.since ?? now, asks: existing?.asks ?? new Map<InstanceId, PermitAsk>(),
		};
		updateRate(target, queue, now);
		this.queues.set(target, queue);
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

function updateRate(target: FleetTarget, queue: Queue, now: MonotonicMs): void {
	const rate = Math.min(calculateLimitRate(target, queue.since, now), calculateBrittleRate(target, queue, now));
	queue.pacer.setRate(rate, now);
}

/** Calculates the rate that the limit of a target allows, in requests per second, to an issuer since `since`. */
function calculateLimitRate({limit}: FleetTarget, since: MonotonicMs, now: MonotonicMs): number {
	const stated = limit.read();
	if (stated === undefined) {
		return unlimitedRate;
	}

	const rate = Math.max(minimumRequestsPerSecond, stated);
	return now - since < takeoverMs ? rate * takeoverShare : rate;
}

/** Calculates the rate that the refusals of a brittle target allow, in requests per second. */
function calculateBrittleRate({brittleness}: FleetTarget, {brittleRate}: Queue, now: MonotonicMs): number {
	const stated = brittleness.read();
	return stated === undefined || brittleRate === undefined
		? unlimitedRate
		: Math.max(minimumRequestsPerSecond, brittleRate.calculate(stated, now));
}
