/** Interfaces for method calls between instances, over JSON-RPC or over a fake network in tests. */

import type {InstanceId} from '../../identity/ids/index.js';

/** Limits of an answer that has begun: maximum time between two parts, and of the whole call, in milliseconds. */
export type AnswerProgress = {readonly silenceMs: number; readonly maximumMs: number};

/**
 * Timeout of a call. `onAnswerBegun` is called when the first part of the answer has arrived; from then on, `progress` replaces
 * `timeoutMs`.
 */
export type PeerCallTimeout = {readonly timeoutMs: number; readonly progress?: AnswerProgress; readonly onAnswerBegun?: () => void};

/** Calls a method of another instance; rejects on a timeout or when the peer answers with an error. */
export type PeerCaller = {
	call<Result>(peer: InstanceId, method: string, parameters: unknown, timeout: number | PeerCallTimeout): Promise<Result>;
};

/** Serves a method; `from` is the calling instance. */
export type PeerMethodHandler = (parameters: unknown, from: InstanceId) => Promise<unknown>;

/** Registry of the methods that this instance serves. */
export type PeerMethodRegistry = {
	register(method: string, handler: PeerMethodHandler): void;
};
