/** A caller's call and a target's answer, as the forwarding core sees them, apart from any wire format. */

import type {OrganisationId, RequestId, TargetId} from '../../identity/ids/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {Route} from '../../routing/routing-types/index.js';

/** One part of a prompt; calls with equal parts at the beginning share cache entries. */
export type PromptPart = {readonly id: string; readonly tokens: number};

/** What a call says about its work at an engine. */
export type EngineWork = {
	readonly model: string;
	readonly promptTokens: number;
	readonly maximumOutputTokens: number;
	/** From the beginning of the prompt on; the last one belongs to this call alone. */
	readonly parts: readonly PromptPart[];
};

/** One call of a caller, complete with its body. */
export type InboundCall = {
	readonly id: RequestId;
	readonly method: string;
	/** Path and query. */
	readonly path: string;
	readonly host: string;
	/** Header names and values in turn, without those that concern one connection or that the router sets. */
	readonly headers: readonly string[];
	/** The caller's secret; undefined when it shows none. */
	readonly key: string | undefined;
	/** Time for which the caller waits, in milliseconds from the arrival. */
	readonly waitMs: number | undefined;
	readonly work: EngineWork | undefined;
	/** Last stream event that the caller has; undefined at the beginning of a stream. */
	readonly lastEventId: string | undefined;
};

/** What the target of one attempt is told beside the call. */
export type AttemptOptions = {
	readonly target: FleetTarget;
	readonly route: Route;
	readonly organisation: OrganisationId | undefined;
	readonly remainingMs: number;
	/** Weights version that the target has to have. */
	readonly weightsVersion: number | undefined;
	/** Name space of cache entries; calls with different ones share nothing. */
	readonly cacheScope: string | undefined;
	readonly priority: number;
	/** `host:port` of a store or engine that may hold parts of the prompt. */
	readonly cacheSource: string | undefined;
	/** `host:port` of a store that takes the computed parts. */
	readonly cacheDestination: string | undefined;
	readonly lastEventId: string | undefined;
};

/** What the head of a target's answer means. */
export type AnswerHead = {
	readonly status: number;
	/** Names and values in turn, for the caller. */
	readonly headers: readonly string[];
	/** Whether the target stated that it did not run the call. */
	readonly isNotRun: boolean;
	/** Whether the answer is the target's own and belongs to this call. */
	readonly isGenuine: boolean;
	/** Whether another target listens at the address now. */
	readonly isOtherTarget: boolean;
	readonly weightsVersion: number | undefined;
	/** Whether the body has neither length nor chunks and ends with the connection, so that its end proves nothing. */
	readonly isUnframed: boolean;
};

/** Translates between the core and the wire format of targets. */
export type TargetProtocol = {
	/** Header names and values in turn. */
	buildHeaders(call: InboundCall, options: AttemptOptions): string[];
	readHead(call: InboundCall, target: TargetId, status: number, rawHeaders: readonly string[]): AnswerHead;
};

/** The way back to the caller. */
export type CallerSink = {
	/** Starts an answer. The body of an unframed one ends with the connection, as the target's did. */
	begin(status: number, headers: readonly string[], isUnframed: boolean): void;
	/** Passes bytes on; false asks to wait for `onDrain`. */
	write(chunk: Buffer): boolean;
	end(): void;
	/** Breaks the connection, so that an answer in progress cannot look complete. */
	destroy(): void;
	onDrain(listener: () => void): void;
};
