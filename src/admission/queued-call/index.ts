/** What the admission queue knows of a call that waits for a target. */

import type {
	MonotonicMs, OrganisationId, RouteId, SoftwareVersion,
} from '../../identity/ids/index.js';
import type {RouterError} from '../../results/create-router-error/index.js';

/** What a call needs of a target besides being in the service. */
export type CallNeeds = {
	/** Undefined for calls to plain services. */
	readonly model: string | undefined;
	/** Version that the call's stream is bound to; undefined if any version may serve it. */
	readonly software: SoftwareVersion | undefined;
	/** Engine memory, in tokens. */
	readonly memoryTokens: number;
};

/** How the queue ranks a call. */
export type CallRank = {
	/** 0 is the most urgent of new calls; streams that continue go before them. */
	readonly priority: number;
	/** Undefined for callers without a key. */
	readonly organisation: OrganisationId | undefined;
	readonly route: RouteId;
	/** Share of the organisation relative to others. */
	readonly weight: number;
	/** Prompt and longest answer, in tokens. */
	readonly costTokens: number;
	/** When the call arrived or, once its stream has begun, when the stream last broke off. */
	readonly since: MonotonicMs;
};

/** A wait whose end doesn't depend on the queue, or the error with which the call ends. */
export type FixedWait = {readonly type: 'wait'; readonly longestMs: number} | {readonly type: 'reject'; readonly error: RouterError};

/** A call that may wait in the queue. */
export type QueuedCall = CallRank & {
	readonly needs: CallNeeds;
	/** Size of the body, which is held while the call waits. */
	readonly bytes: number;
	/** Time within which the answer should begin. */
	readonly latencyGoalMs: number;
	/** Time before which the call is not sent, because all targets have just refused it. */
	readonly earliestAt: MonotonicMs;
	/** Returns when the call ends without an answer; it may change while the call waits. */
	readDeadline(): MonotonicMs;
	/** Plans the wait of a call that pauses, limits or the version of its stream hold back; undefined if the queue decides. */
	planFixedWait(now: MonotonicMs): FixedWait | undefined;
	/** Sends the call if a target has room, and then has it leave the queue. */
	resume(): void;
	/** Called once if the queue refuses the call, which has left it. */
	refuse(error: RouterError): void;
};

/** A call in the queue. */
export type QueueEntry = {
	readonly call: QueuedCall;
	readonly joinedAt: MonotonicMs;
	/** When the queue decides again whether the call goes on waiting. */
	checkAt: MonotonicMs;
	/** Tokens of calls of the same or a lower rank that arrived later and were sent before it. */
	passedTokens: number;
	/** Until when no call of the same or a lower rank may take room that this one needs; undefined before it is held for this one. */
	heldUntil: MonotonicMs | undefined;
};
