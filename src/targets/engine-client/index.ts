/** Interface of a model engine's client, with its requests, responses, state and events. */

import type {Stream} from 'most';
import type {
	BlockKey, FencingNumber, Incarnation, RequestId, WallMs,
} from '../../identity/ids/index.js';

/** Completion request to an engine. The response is always streamed. */
export type EngineRequest = {
	readonly requestId: RequestId;
	readonly path: '/v1/completions' | '/v1/chat/completions';
	/** Body in the caller's format, without API keys and with the engine's own model name. */
	readonly body: Readonly<Record<string, unknown>>;
	/** The engine refuses the request with status 412 if its incarnation or weights version differs. */
	readonly expectedIncarnation?: Incarnation;
	readonly expectedWeightsVersion?: string;
};

/** One event of a streamed response. */
export type EngineChunk = {
	/** Position in the stream, from 0. */
	readonly offset: number;
	/** JSON text of the event, as the engine sent it. */
	readonly data: string;
	/** Whether this is the end marker. */
	readonly isEnd: boolean;
};

/** Response whose headers have been received. */
export type EngineResponse = {
	readonly requestId: RequestId;
	readonly incarnation: Incarnation;
	readonly weightsVersion: string;
	readonly cachedTokens: number;
	/** Fails with a `RouterError` when the connection breaks before the end marker. */
	readonly chunks: AsyncIterable<EngineChunk>;
};

/** Load reported by the engine. */
export type EngineLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** Prompt tokens not yet computed for running and waiting requests. */
	readonly pendingPrefillTokens: number;
	readonly ageMs: number;
};

/** Weights that an engine has loaded or is loading. */
export type EngineModelState = {
	readonly base: string;
	readonly adapter?: string;
	readonly weightsVersion: string;
	readonly state: 'ready' | 'loading';
};

/** State reported by the engine. */
export type EngineState = {
	readonly incarnation: Incarnation;
	readonly role: 'mixed' | 'prefill' | 'decode';
	readonly isLeaving: boolean;
	readonly models: readonly EngineModelState[];
	readonly load: EngineLoad;
};

/** Cached blocks at one point in the event sequence. */
export type BlockSnapshot = {
	readonly incarnation: Incarnation;
	readonly sequence: number;
	readonly blocks: readonly BlockKey[];
};

/** Change of an engine's cache, or heartbeat of the event stream. */
export type CacheEvent = {
	readonly incarnation: Incarnation;
	readonly sequence: number;
	readonly type: 'stored' | 'evicted' | 'cleared' | 'heartbeat';
	readonly blocks: readonly BlockKey[];
};

/** Order to an engine. */
export type EngineOrder = {
	readonly order: 'loadWeights' | 'unloadWeights' | 'changeRole';
	readonly base?: string;
	readonly adapter?: string;
	readonly weightsVersion?: string;
	readonly role?: 'mixed' | 'prefill' | 'decode';
	readonly fencing: FencingNumber;
	/** Time after sending within which the engine may execute the order. */
	readonly ttlMs: number;
	/** Wall-clock time of sending. Engines with a synchronised clock refuse orders older than `ttlMs`. */
	readonly sentAt: WallMs;
};

/** Client of one engine. Its methods reject with a `RouterError`. */
export type EngineClient = {
	/** Called when a response shows that the engine is leaving. */
	onLeaving?: () => void;
	complete(request: EngineRequest, signal: AbortSignal): Promise<EngineResponse>;
	/** Continues the stream of an earlier request from `offset` on the same incarnation. Resolves to undefined if the engine doesn't have the stream. */
	resume(requestId: RequestId, offset: number, incarnation: Incarnation, signal: AbortSignal): Promise<EngineResponse | undefined>;
	/** Asks the engine to stop a run. Resolves once it has answered, also if it doesn't have the run. */
	cancel(requestId: RequestId): Promise<void>;
	readState(): Promise<EngineState>;
	readBlocks(): Promise<BlockSnapshot>;
	watchCacheEvents(after: number): Stream<CacheEvent>;
	sendOrder(order: EngineOrder, timeoutMs: number): Promise<'accepted' | 'staleFencing' | 'refused'>;
	/** Closes the connections once the exchanges on them have ended. No new ones can begin. */
	drain(): Promise<void>;
	/** Closes all connections at once, which breaks the exchanges on them. */
	close(): Promise<void>;
};
