/**
 * Decides whether a call leaves a target that has stalled. A sound target may be silent for a while and go on, so a call stays
 * where it is unless another target can take it at once and a retry is left.
 */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {CallGuard} from '../call-guard/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import type {NextStep} from '../plan-next-step/index.js';
import {selectTarget, type TargetSelection} from '../select-target/index.js';

/** A call whose attempt has stalled. */
export type StalledCall = {
	readonly selection: TargetSelection;
	readonly guard: Pick<CallGuard, 'findError'>;
	/** Plans the step that would follow if the attempt failed; takes a retry if there is to be another attempt. */
	readonly planStep: () => NextStep;
};

/** Sends the call to `target` as well, or stays with the attempts in flight. */
export type MovePlan = {readonly type: 'move'; readonly target: FleetTarget} | {readonly type: 'stay'};

/** Plans at `now` whether a stalled call is sent to another target. */
export function planMove({selection, guard, planStep}: StalledCall, context: ForwardingContext, now: MonotonicMs): MovePlan {
	const target = guard.findError(true, now) === undefined ? selectTarget(selection, context, now) : undefined;
	return target !== undefined && planStep().type === 'retry' ? {type: 'move', target} : {type: 'stay'};
}
