/** A model engine as the router sees it. */

import type {Stream} from 'most';
import type {
	BlockKey, FencingNumber, Incarnation, RequestId, WallMs,
} from '../../identity/ids/index.js';

/** A completion sent to an engine; the answer is always streamed. */
export type EngineRequest = {
	readonly requestId: RequestId;
	readonly path: '/v1/completions' | '/v1/chat/completions';
	/** Body in the caller's format without any key, with the engine's own model name. */
	readonly body: Readonly<Record<string, unknown>>;
	/** The engine refuses with 412 when its incarnation or weights version is another one. */
	readonly expectedIncarnation?: Incarnation;
	readonly expectedWeightsVersion?: string;
};

/** One event of a streamed answer. */
export type EngineChunk = {
	/** Position in the stream, from 0. */
	readonly offset: number;
	/** JSON text of the event, as the engine sent it. */
	readonly data: string;
	/** Whether this is the end marker. */
	readonly isEnd: boolean;
};

/** An answer whose headers have arrived. */
export type EngineAnswer = {
	readonly requestId: RequestId;
	readonly incarnation: Incarnation;
	readonly weightsVersion: string;
	readonly cachedTokens: number;
	/** Fails with a `RouterError` when the connection breaks before the end marker. */
	readonly chunks: AsyncIterable<EngineChunk>;
};

/** Load as the engine reports it. */
export type EngineLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** Prompt tokens not yet computed for running and waiting requests. */
	readonly pendingPrefillTokens: number;
	readonly ageMs: number;
};

/** Weights that an engine holds or loads. */
export type EngineModelState = {
	readonly base: string;
	readonly adapter?: string;
	readonly weightsVersion: string;
	readonly state: 'ready' | 'loading';
};

/** State as the engine reports it. */
export type EngineState = {
	readonly incarnation: Incarnation;
	readonly role: 'mixed' | 'prefill' | 'decode';
	readonly isLeaving: boolean;
	readonly models: readonly EngineModelState[];
	readonly load: EngineLoad;
};

/** Cached blocks at one point of the event sequence. */
export type BlockSnapshot = {
	readonly incarnation: Incarnation;
	readonly sequence: number;
	readonly blocks: readonly BlockKey[];
};

/** A change of an engine's cache, or a sign that the event stream is alive. */
export type CacheEvent = {
	readonly incarnation: Incarnation;
	readonly sequence: number;
	readonly type: 'stored' | 'evicted' | 'cleared' | 'heartbeat';
	readonly blocks: readonly BlockKey[];
};

/** An order to an engine. */
export type EngineOrder = {
	readonly order: 'loadWeights' | 'unloadWeights' | 'changeRole';
	readonly base?: string;
	readonly adapter?: string;
	readonly weightsVersion?: string;
	readonly role?: 'mixed' | 'prefill' | 'decode';
	readonly fencing: FencingNumber;
	/** Time after sending within which the order may be carried out, in milliseconds. */
	readonly ttlMs: number;
	/** Wall-clock time of sending; engines with a synchronised clock refuse orders older than `ttlMs`. */
	readonly sentAt: WallMs;
};

/** Client of one engine. Methods reject with a `RouterError`. */
export type EngineClient = {
	/** Called when an answer says that the engine is leaving. */
	onLeaving?: () => void;
	complete(request: EngineRequest, signal: AbortSignal): Promise<EngineAnswer>;
	/** Continues the stream of an earlier request from `offset` on the same incarnation. */
	resume(requestId: RequestId, offset: number, incarnation: Incarnation, signal: AbortSignal): Promise<EngineAnswer>;
	cancel(requestId: RequestId): Promise<void>;
	readState(): Promise<EngineState>;
	readBlocks(): Promise<BlockSnapshot>;
	watchCacheEvents(after: number): Stream<CacheEvent>;
	sendOrder(order: EngineOrder, timeoutMs: number): Promise<'accepted' | 'staleFencing' | 'refused'>;
	close(): Promise<void>;
};
