/**
 * Moves a call away from a target that has stalled.
 *
 * A sound target may be silent for a while and go on, and the next one may refuse the call. So the call is sent to a second
 * target while the attempt at the first one stays in flight, and to a third once the second has stalled, too. The first of them
 * that delivers something that the caller can use goes on with the call, and the others are aborted in the same turn of the event
 * loop, so that never two go on with it.
 */

import type {MonotonicMs, RequestId} from '../../identity/ids/index.js';
import type {AttemptStarter} from '../attempt-starter/index.js';
import type {CallParts} from '../call-parts/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import {planMove} from '../plan-move/index.js';
import type {AttemptFailure} from '../plan-next-step/index.js';
import type {Attempt} from '../session-types/index.js';
import type {StepPlanner} from '../step-planner/index.js';

/** A call that may move. */
export type MovableCall = Pick<CallParts, 'attempts' | 'relay' | 'guard' | 'selection'> & {
	readonly id: RequestId;
	readonly steps: StepPlanner;
	readonly starter: AttemptStarter;
};

/** Moves one call, more than once if need be. */
export class CallMove {
	constructor(private readonly call: MovableCall, private readonly context: ForwardingContext) {}

	/**
	 * Sends the call to another target as well, if one can take it at once. An attempt that has stalled waits for newer ones, so
	 * that there is another target only once all before have stalled.
	 */
	tryMove(stalled: Attempt, now: MonotonicMs): void {
		const {attempts, selection, guard, steps, starter} = this.call;
		if (attempts.newest !== stalled) {
			return;
		}

		const plan = planMove({selection, guard, planStep: () => steps.plan(this.failure, attempts.possibleRuns)}, this.context, now);
		if (plan.type === 'move') {
			this.reportMove(stalled, starter.send(plan.target, now));
		}
	}

	/** Lets `attempt`, which has delivered, go on alone. */
	prefer(attempt: Attempt, now: MonotonicMs): void {
		let isOlder = true;
		for (const other of this.call.attempts.inFlight) {
			if (other === attempt) {
				isOlder = false;
			} else if (isOlder) {
				this.leave(other, now);
			} else {
				this.drop(other);
			}
		}
	}

	/** What an attempt that has stalled counts as when it is left. */
	private get failure(): AttemptFailure {
		return this.call.relay.hasBegun ? 'broken' : 'unknown';
	}

	/** Ends an attempt that has stalled, as one that may have run the call. */
	private leave(attempt: Attempt, now: MonotonicMs): void {
		const {attempts, steps, starter} = this.call;
		starter.recordBreak(now);
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
