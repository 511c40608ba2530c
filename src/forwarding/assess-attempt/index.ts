/** Assesses an attempt in flight: whether it goes on, must not begin any more, or has stalled at its target. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import {isAttemptStalled} from '../is-attempt-stalled/index.js';
import {mustWithdrawAttempt} from '../must-withdraw-attempt/index.js';
import {hasAlternativeTarget, type TargetSelection} from '../select-target/index.js';
import type {Attempt} from '../session-types/index.js';

/** `withdraw`: the call must not begin at the target any more. `move`: the attempt has stalled, and another target could take over. */
export type AttemptAssessment = 'keep' | 'withdraw' | 'move';

/** An attempt in flight and the selection of targets for its call. */
export type AttemptInFlight = {
	readonly attempt: Attempt;
	readonly selection: TargetSelection;
	/** Whether the route allows the call to run again. */
	readonly isRepeatable: boolean;
};

/** Assesses an attempt at `now`. Only repeatable calls move. The time in which the caller does not read is not its target's. */
export function assessAttempt({attempt, selection, isRepeatable}: AttemptInFlight, context: ForwardingContext, now: MonotonicMs): AttemptAssessment {
	if (attempt.head === undefined && attempt.target.isSilent(now)) {
		context.reachability.recordUnanswered(attempt.target, now);
	}

	if (mustWithdrawAttempt(attempt, selection.session.call.work?.model, context, now)) {
		return 'withdraw';
	}

	if (attempt.isPaused) {
		attempt.lastProgressAt = now;
		return 'keep';
	}

	return isRepeatable && isAttemptStalled(attempt, now) && hasAlternativeTarget(selection, attempt.target, context, now) ? 'move' : 'keep';
}
