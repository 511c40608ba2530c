/** Assesses a call at the instance that took it, from what came of it so far. */

import type {MonotonicMs} from '../../identity/ids/index.js';

/** A call at another instance. */
export type HandoverInProgress = {
	readonly deadline: MonotonicMs;
	/** When the instance last sent anything; when the call was sent, if that is later. */
	readonly lastHeardAt: MonotonicMs;
	/** Whether the caller has the head of the answer. */
	readonly hasBegun: boolean;
	/** Whether the instance counts as a member of the fleet, also while it leaves. */
	readonly isMember: boolean;
};

/** `silent`: the instance answers no call; it may go on. `expired`: the caller waits no longer. `broken`: an answer that has begun won't go on. */
export type HandoverAssessment = 'keep' | 'silent' | 'expired' | 'broken';

/** Time without any byte from an instance after which a call may be sent to another one as well, in milliseconds. */
const silenceMs = 500;
/** Time without any byte from an instance that has left the fleet after which its answers are broken off, in milliseconds. */
const lostAnswerMs = 1000;

/** Assesses a call at `now`. */
export function assessHandover({deadline, lastHeardAt, hasBegun, isMember}: HandoverInProgress, now: MonotonicMs): HandoverAssessment {
	if (now >= deadline) {
		return 'expired';
	}

	const silentMs = now - lastHeardAt;
	if (hasBegun) {
		return !isMember && silentMs >= lostAnswerMs ? 'broken' : 'keep';
	}

	return silentMs >= silenceMs ? 'silent' : 'keep';
}
