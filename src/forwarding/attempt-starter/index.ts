/** Starts the attempts of one call: at once if a target can take it, else as soon as one can. */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {RouterError} from '../../results/create-router-error/index.js';
import {isRepeatable} from '../../routing/is-repeatable/index.js';
import type {CallParts} from '../call-parts/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import {planWait} from '../plan-wait/index.js';
import {selectTarget} from '../select-target/index.js';
import type {Attempt} from '../session-types/index.js';
import {startAttempt, type AttemptListener} from '../start-attempt/index.js';
import {TargetWaiter} from '../target-waiter/index.js';

/** The call whose attempts are started. */
export type StartedCall = CallParts & {
	/** Receives what comes back. */
	readonly listener: AttemptListener;
	/** Tries again after the call has waited for a target. */
	readonly tryAgain: () => void;
	/** Ends the call because it would wait too long for a target. */
	readonly refuse: (error: RouterError) => void;
};

/** Starts attempts of one call. */
export class AttemptStarter {
	private readonly waiter: TargetWaiter;

	/** `waitingSince`: when the call arrived or, once its stream has begun, when the stream last broke off. */
	constructor(private readonly call: StartedCall, private readonly context: ForwardingContext, private waitingSince: MonotonicMs) {
		this.waiter = new TargetWaiter(context.fleet);
	}

	/** Records that the answer broke off. Only a call whose answer has begun waits anew. */
	recordBreak(now: MonotonicMs): void {
		if (this.call.relay.hasBegun) {
			this.waitingSince = now;
		}
	}

	/** Starts the next attempt, or waits for a target that can take the call. */
	startNext(now: MonotonicMs): void {
		const target = selectTarget(this.call.selection, this.context, now);
		if (target === undefined) {
			this.waitForTarget(now);
		} else {
			this.send(target, now);
		}
	}

	/** Sends the call to `target`. */
	send(target: FleetTarget, now: MonotonicMs): Attempt {
		const {session, selection: {hints, origin}, attempts, requests, relay, guard, times, listener} = this.call;
		attempts.add(target);
		requests.recordSent(now);
		times.recordSent(now);
		const attempt = startAttempt({
			session, target, hints, guard, remainingMs: session.deadline.measureWorkMs(now),
			lastEventId: relay.readLastEventId(), isRepeatable: isRepeatable(session.route),
			origin, otherTargets: attempts.inFlight.map(other => other.target),
		}, this.context, listener, now);
		attempts.begin(attempt);
		return attempt;
	}

	/** Stops waiting for a target. */
	stop(): void {
		this.waiter.stop();
	}

	private waitForTarget(now: MonotonicMs): void {
		const {session, selection, attempts: {mayHaveRun, triedTargets}, listener, tryAgain, refuse} = this.call;
		const plan = planWait({
			session, selection, deadline: session.deadline.read(), mayHaveRun, since: this.waitingSince,
		}, this.context, now);
		if (plan.type === 'reject') {
			refuse(plan.error);
			return;
		}

		this.waiter.wait(plan.longestMs, () => {
			triedTargets.clear();
			listener.protect(tryAgain);
		});
	}
}
