/** How one call waits for a target that can take it. */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {RouterError} from '../../results/create-router-error/index.js';
import type {CallParts} from '../call-parts/index.js';
import type {Attempt} from '../session-types/index.js';
import type {AttemptListener} from '../start-attempt/index.js';

/** A call that may wait. */
export type WaitingCallParts = CallParts & {
	readonly listener: Pick<AttemptListener, 'protect'>;
	/** Tries again after the call has waited for a target. */
	readonly tryAgain: () => void;
	/** Ends the call because it would wait too long for a target. */
	readonly refuse: (error: RouterError) => void;
};

/** The wait of one call. `since`: when it arrived or, once its stream has begun, when the stream last broke off. */
export type TargetWait = {
	/** Selects the target of the next attempt; undefined if none can take the call, or if others have their turn before it. */
	select(since: MonotonicMs, now: MonotonicMs): FleetTarget | undefined;
	/** Waits for a target, or refuses the call. A call that waits already goes on waiting. */
	begin(since: MonotonicMs, now: MonotonicMs): void;
	/** Records that the call was sent, which ends its wait. */
	recordSent(attempt: Attempt, since: MonotonicMs, now: MonotonicMs): void;
	/** Records that the answer to an attempt has begun. */
	recordAnswer(attempt: Attempt, now: MonotonicMs): void;
	/** Ends the wait of a call that has ended. */
	stop(): void;
};
