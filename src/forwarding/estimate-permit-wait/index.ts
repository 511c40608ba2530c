/** Estimates how long a call waits for a permit of a target that states a limit. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import {listCandidates} from '../list-candidates/index.js';
import type {TargetSelection} from '../select-target/index.js';

/**
 * Estimates the wait in milliseconds if nothing but limits keeps the call from all targets that it may be sent to; undefined
 * if something else does, or if no issuer has answered yet.
 */
export function estimatePermitWaitMs(selection: TargetSelection, {fleet, limits}: ForwardingContext, now: MonotonicMs): number | undefined {
	const targets = listCandidates(selection, fleet);
	const expectedTimes = targets.map(target => limits.allows(target, now) ? undefined : target.permits.readExpectedAt());
	return targets.length === 0 || expectedTimes.includes(undefined)
		? undefined
		: Math.max(0, Math.min(...expectedTimes.map(Number)) - now);
}
