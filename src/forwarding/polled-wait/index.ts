/** Waits for a target without a queue: each call looks again by itself after each change of the fleet, and at intervals. */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import {planWait} from '../plan-wait/index.js';
import {selectTarget} from '../select-target/index.js';
import type {TargetWait, WaitingCallParts} from '../target-wait/index.js';
import {TargetWaiter} from '../target-waiter/index.js';

/** Wait of one call. */
export class PolledWait implements TargetWait {
	private readonly waiter: TargetWaiter;

	constructor(private readonly call: WaitingCallParts, private readonly context: ForwardingContext) {
		this.waiter = new TargetWaiter(context.fleet);
	}

	select(_since: MonotonicMs, now: MonotonicMs): FleetTarget | undefined {
		return selectTarget(this.call.selection, this.context, now);
	}

	begin(since: MonotonicMs, now: MonotonicMs): void {
		const {session, selection, attempts: {mayHaveRun, triedTargets}, listener, tryAgain, refuse} = this.call;
		const plan = planWait({
			session, selection, deadline: session.deadline.read(), mayHaveRun, since,
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

	recordSent(): void {
		// The waiter ends before the call is tried again.
	}

	recordAnswer(): void {
		// Only a queue learns from answers.
	}

	stop(): void {
		this.waiter.stop();
	}
}
