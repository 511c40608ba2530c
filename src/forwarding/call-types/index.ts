/** Calls and responses as the forwarding core sees them, independent of any wire format. */

import type {OrganisationId, RequestId, TargetId} from '../../identity/ids/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {Route} from '../../routing/routing-types/index.js';
import type {TargetStatements} from '../../statements/target-statements/index.js';

/** One part of a prompt; calls whose prompts begin with the same parts share cache entries. */
export type PromptPart = {readonly id: string; readonly tokens: number};

/** Model, token counts and prompt of a call to an engine. */
export type EngineWork = {
	readonly model: string;
	readonly promptTokens: number;
	readonly maximumOutputTokens: number;
	/** In prompt order; the last part is not shared with other calls. */
	readonly parts: readonly PromptPart[];
};

/** A call whose body has been read completely. */
export type InboundCall = {
	readonly id: RequestId;
	readonly method: string;
	/** Path and query string. */
	readonly path: string;
	readonly host: string;
	/** Alternating header names and values, without hop-by-hop headers and those that the router sets. */
	readonly headers: readonly string[];
	/** API key of the caller; undefined when it sends none. */
	readonly key: string | undefined;
	/** Timeout set by the caller, in milliseconds from the arrival of the call. */
	readonly waitMs: number | undefined;
	readonly work: EngineWork | undefined;
	/** Id of the last stream event that the caller received; undefined at the beginning of a stream. */
	readonly lastEventId: string | undefined;
	/** Id of the request that brought the first event of the stream; undefined unless the caller continues one and names it. */
	readonly resumes: RequestId | undefined;
};

/** What the router sends to the target of an attempt in addition to the call. */
export type AttemptOptions = {
	readonly target: FleetTarget;
	readonly route: Route;
	readonly organisation: OrganisationId | undefined;
	readonly remainingMs: number;
	/** Weights version that the target must serve. */
	readonly weightsVersion: number | undefined;
	/** Namespace of cache entries; calls in different namespaces share none. */
	readonly cacheScope: string | undefined;
	readonly priority: number;
	/** `host:port` of a store or engine that may hold cache entries of the prompt. */
	readonly cacheSource: string | undefined;
	/** `host:port` of a store to which computed cache entries are written. */
	readonly cacheDestination: string | undefined;
	readonly lastEventId: string | undefined;
};

/** The interpreted head of a target's response. */
export type ResponseHead = {
	readonly status: number;
	/** Alternating names and values, for the caller. */
	readonly headers: readonly string[];
	/** Whether the target stated that it did not run the call. */
	readonly isNotRun: boolean;
	/** Whether the response comes from the target itself and belongs to this call. */
	readonly isGenuine: boolean;
	/** Whether a different target now listens at the address. */
	readonly isOtherTarget: boolean;
	readonly weightsVersion: number | undefined;
	readonly statements: TargetStatements;
	/** Whether the body is delimited only by the end of the connection, so that truncation cannot be detected. */
	readonly isUnframed: boolean;
};

/** Translates between the core and the wire format of targets. */
export type TargetProtocol = {
	/** Returns alternating header names and values. */
	buildHeaders(call: InboundCall, options: AttemptOptions): string[];
	readHead(call: InboundCall, target: TargetId, status: number, rawHeaders: readonly string[]): ResponseHead;
};

/** Sends a response to the caller. */
export type CallerSink = {
	/** Sends the head. Without a length, only `end` completes the body that follows. */
	begin(status: number, headers: readonly string[]): void;
	/** Sends a chunk; returns false if the source should pause until `onDrain`. */
	write(chunk: Buffer): boolean;
	end(): void;
	/** Breaks the connection off, so that an incomplete response cannot look complete. */
	destroy(): void;
	onDrain(listener: () => void): void;
};
