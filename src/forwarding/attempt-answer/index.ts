/**
 * The answer that one attempt gets from its target, as far as it has come and has not been passed on.
 *
 * While two attempts of a call are in flight, each has an answer of its own, so that either can still go on with the call.
 */

import type {ResponseHead} from '../call-types/index.js';

/** An answer that is being received. */
export type AttemptAnswer = {
	readonly head: ResponseHead;
	/** Whether another target can continue the answer once the caller has a part of it. */
	readonly isResumable: boolean;
	/** Whether the answer is an error that counts only if no other attempt has a better one. */
	readonly isFallback: boolean;
	/** Whether the target has sent its last byte. */
	readonly hasEnded: boolean;
	/** Whether the last byte ends a whole answer; only for one that has ended. */
	readonly isWhole: boolean;
	/** Whether what has come may be passed on as far as the answer itself is concerned. */
	readonly isReady: boolean;
	/** Whether something is held that the caller can use: the next event of a stream, or a whole answer. */
	readonly hasContent: boolean;
	/** Size of the body so far. */
	readonly receivedBytes: number;
	/** Size of what is held. */
	readonly heldBytes: number;
	/** Id of the last event received; undefined before the first, and for answers without events. */
	readonly lastEventId: string | undefined;
	/**
	 * Adds bytes of the body; returns whether the answer came closer to its end. `isContinuation`: whether the caller has the
	 * beginning from another target. Throws a `RangeError` if an event is too large, and a `ContinuationError` if the bytes don't
	 * continue what the caller has.
	 */
	add(chunk: Buffer, isContinuation: boolean): boolean;
	/** Records that the target has sent its last byte. */
	end(): void;
	/** Returns what is held and may be passed on, and holds it no longer. */
	take(): Buffer;
};

const okStatus = 200;

/** Whether a head on a streaming route begins a stream of events. Other answers there are errors. */
export function isEventStream({status}: ResponseHead, isStreamingRoute: boolean): boolean {
	return isStreamingRoute && status === okStatus;
}
