/**
 * Decides whether a call leaves a target that has stalled. A sound target may be silent for a while and go on, so a call stays
 * where it is unless another target can take it at once and a retry is left.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {CallGuard} from '../call-guard/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import type {NextStep} from '../plan-next-step/index.js';
import {selectTarget, type TargetSelection} from '../select-target/index.js';

/** A call whose attempt has stalled. */
export type StalledCall = {
	readonly selection: TargetSelection;
	readonly guard: Pick<CallGuard, 'findError'>;
	/** Plans the step after the attempt; takes a retry if there is to be another one. */
	readonly planStep: () => NextStep;
};

/** Plans the step at `now`: a retry, or to stay with the target. */
export function planMove({selection, guard, planStep}: StalledCall, context: ForwardingContext, now: MonotonicMs): NextStep | {readonly type: 'stay'} {
	const canMove = guard.findError(true, now) === undefined && selectTarget(selection, context, now) !== undefined;
	return canMove ? planStep() : {type: 'stay'};
}
