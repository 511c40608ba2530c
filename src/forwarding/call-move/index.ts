/**
 * Moves a call away from a target that has stalled.
 *
 * A sound target may be silent for a while and go on, and the next one may refuse the call. So the call is sent to a second
 * target while the attempt at the first one stays in flight. The first of the two that delivers something that the caller
 * can use goes on with the call, and the other one is aborted in the same turn of the event loop, so that never both go on with it.
 */

import type {MonotonicMs, RequestId} from '../../identity/ids/index.js';
import type {AttemptStarter} from '../attempt-starter/index.js';
import type {CallAttempts} from '../call-attempts/index.js';
import type {CallGuard} from '../call-guard/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import {planMove} from '../plan-move/index.js';
import type {AttemptFailure} from '../plan-next-step/index.js';
import type {ResponseRelay} from '../response-relay/index.js';
import type {TargetSelection} from '../select-target/index.js';
import type {Attempt} from '../session-types/index.js';
import type {StepPlanner} from '../step-planner/index.js';

/** A call that may move. */
export type MovableCall = {
	readonly id: RequestId;
	readonly attempts: CallAttempts;
	readonly relay: ResponseRelay;
	readonly guard: CallGuard;
	readonly selection: TargetSelection;
	readonly steps: StepPlanner;
	readonly starter: AttemptStarter;
};

/** Moves one call, more than once if need be. */
export class CallMove {
	constructor(private readonly call: MovableCall, private readonly context: ForwardingContext) {}

	/**
	 * Sends the call to another target if one can take it at once. The stalled attempt stays in flight if it is the current
	 * one, and is replaced if it is the successor. A current attempt that has a successor waits for it.
	 */
	tryMove(stalled: Attempt, now: MonotonicMs): void {
		const {attempts, selection, guard, steps, starter} = this.call;
		if (attempts.successor !== undefined && attempts.successor !== stalled) {
			return;
		}

		const plan = planMove({selection, guard, planStep: () => steps.plan(this.failure, attempts.possibleRuns)}, this.context, now);
		if (plan.type === 'stay') {
			return;
		}

		if (stalled === attempts.successor) {
			this.leave(stalled, now);
		}

		const attempt = starter.send(plan.target, now);
		this.reportMove(stalled, attempt);
		if (attempts.current === undefined) {
			attempts.current = attempt;
		} else {
			attempts.successor = attempt;
		}
	}

	/** Lets `attempt`, which has delivered, go on alone. */
	prefer(attempt: Attempt, now: MonotonicMs): void {
		const {attempts} = this.call;
		if (attempts.successor === undefined) {
			return;
		}

		if (attempt === attempts.successor) {
			this.leave(attempts.current!, now);
		} else {
			this.drop(attempts.successor);
		}
	}

	/** What an attempt that has stalled counts as when it is left. */
	private get failure(): AttemptFailure {
		return this.call.relay.hasBegun ? 'broken' : 'unknown';
	}

	/** Ends an attempt that has stalled, as one that may have run the call. */
	private leave(attempt: Attempt, now: MonotonicMs): void {
		const {attempts, steps, starter} = this.call;
		if (attempt === attempts.current) {
			starter.recordBreak(now);
		}

		attempt.exchange?.abort();
		attempts.end(attempt, true);
		attempt.target.recordFailure(now);
		steps.report(attempt, {failure: this.failure, reason: 'no data received from the target', step: {type: 'other attempt'}});
	}

	/** Ends an attempt that is no longer needed. Its target may be sound, so no failure of it is recorded. */
	private drop(attempt: Attempt): void {
		attempt.exchange?.abort();
		this.call.attempts.end(attempt, true);
		this.context.logger.info('attempt dropped', {
			id: this.call.id, target: attempt.target.description.id, attempt: this.call.attempts.count, reason: 'the target before has gone on',
		});
	}

	private reportMove(stalled: Attempt, attempt: Attempt): void {
		this.context.logger.info('call sent to a second target', {
			id: this.call.id, stalled: stalled.target.description.id, target: attempt.target.description.id, attempt: this.call.attempts.count,
			afterEvent: this.call.relay.readLastEventId(),
		});
	}
}
