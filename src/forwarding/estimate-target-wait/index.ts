/** Estimates how long a call waits for targets that want no requests now, or that state a limit. */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import {listCandidates} from '../list-candidates/index.js';
import type {TargetSelection} from '../select-target/index.js';

/** The wait in milliseconds; `paused`: all targets want no requests, `limited`: limits have a part in it. */
export type TargetWait = {readonly ms: number; readonly reason: 'paused' | 'limited'};

/**
 * Estimates the wait if nothing but pauses and limits keeps the call from all targets that it may be sent to; undefined if
 * something else does, or if no issuer of permits has answered yet.
 */
export function estimateTargetWait(selection: TargetSelection, context: Pick<ForwardingContext, 'fleet' | 'limits'>, now: MonotonicMs): TargetWait | undefined {
	const targets = listCandidates(selection, context.fleet);
	const expectedTimes = targets.map(target => findExpectedAt(target, context, now));
	if (targets.length === 0 || expectedTimes.includes(undefined)) {
		return undefined;
	}

	const isPaused = targets.every(({pause}) => pause.readUntil() > now);
	return {ms: Math.max(0, Math.min(...expectedTimes.map(Number)) - now), reason: isPaused ? 'paused' : 'limited'};
}

/** Finds when `target` is expected to take a call; undefined if neither a pause nor a limit tells. */
function findExpectedAt(target: FleetTarget, {limits}: Pick<ForwardingContext, 'limits'>, now: MonotonicMs): MonotonicMs | undefined {
	const pausedUntil = target.pause.readUntil();
	if (pausedUntil > now) {
		return pausedUntil;
	}

	return limits.allows(target, now) ? undefined : target.permits.readExpectedAt();
}
