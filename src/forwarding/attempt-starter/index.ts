/** Starts the attempts of one call: at once if a target can take it, else as soon as one can. */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {isRepeatable} from '../../routing/is-repeatable/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import {PolledWait} from '../polled-wait/index.js';
import {QueuedWait} from '../queued-wait/index.js';
import type {Attempt} from '../session-types/index.js';
import {startAttempt, type AttemptListener} from '../start-attempt/index.js';
import type {TargetWait, WaitingCallParts} from '../target-wait/index.js';

/** The call whose attempts are started. */
export type StartedCall = WaitingCallParts & {
	/** Receives what comes back. */
	readonly listener: AttemptListener;
};

/** Starts attempts of one call. */
export class AttemptStarter {
	private readonly wait: TargetWait;

	/** `waitingSince`: when the call arrived or, once its stream has begun, when the stream last broke off. */
	constructor(private readonly call: StartedCall, private readonly context: ForwardingContext, private waitingSince: MonotonicMs) {
		this.wait = context.admission === undefined ? new PolledWait(call, context) : new QueuedWait(call, context, context.admission);
	}

	/** Records that the answer broke off. Only a call whose answer has begun waits anew. */
	recordBreak(now: MonotonicMs): void {
		if (this.call.relay.hasBegun) {
			this.waitingSince = now;
		}
	}

	/** Starts the next attempt, or waits for a target that can take the call. */
	startNext(now: MonotonicMs): void {
		const target = this.wait.select(this.waitingSince, now);
		if (target === undefined) {
			this.wait.begin(this.waitingSince, now);
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
		this.wait.recordSent(attempt, this.waitingSince, now);
		return attempt;
	}

	/** Records that the answer to an attempt has begun. */
	recordAnswer(attempt: Attempt, now: MonotonicMs): void {
		this.wait.recordAnswer(attempt, now);
	}

	/** Stops waiting for a target. */
	stop(): void {
		this.wait.stop();
	}
}
