/**
 * Exchanges of one call and its answer with a target over HTTP.
 *
 * Calls that may run once only get a new connection: on a kept one a reset would not tell whether the call
 * ran, and a late answer to an earlier call could arrive first. Node's client is used here since it
 * tells a chunked answer that was cut from a complete one, also when the connection is to be closed.
 */

import {
	Agent, request as openRequest, type ClientRequest, type IncomingMessage,
} from 'node:http';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import {parseAddress} from '../../http/parse-address/index.js';

/** How far a failed exchange had come. */
export type ExchangeStage = 'notSent' | 'sent' | 'answering';

/** Receives the answer to one call. */
export type ExchangeListener = {
	onHead(status: number, rawHeaders: readonly string[]): void;
	onChunk(chunk: Buffer): void;
	onEnd(): void;
	onFailure(stage: ExchangeStage, error: Error): void;
};

/** One call on the wire. */
export type OutboundRequest = {
	readonly method: string;
	readonly path: string;
	/** Names and values in turn. */
	readonly headers: readonly string[];
	readonly body: Buffer | undefined;
	/** Whether the call needs a new connection. */
	readonly shouldUseNewConnection: boolean;
};

/** Controls an exchange in progress. */
export type Exchange = {
	pause(): void;
	resume(): void;
	/** Ends the exchange and its connection; no further callback follows. */
	abort(): void;
};

/** Time for opening a connection, in milliseconds. Targets are a few milliseconds away. */
const connectTimeoutMs = 400;
/** Idle connections kept to one target. */
const maximumIdle = 4;
/** Idle time after which a kept connection is closed, in milliseconds. */
const longestIdleMs = 3000;
const maximumHeaderBytes = 32 * 1024;

/** Connections to all targets. */
export class TargetExchange {
	private readonly agents = new Map<FleetTarget, Agent>();
	private readonly freshAgent = new Agent({keepAlive: false, maxSockets: Infinity});

	/** Sends a call. */
	start(target: FleetTarget, outbound: OutboundRequest, listener: ExchangeListener): Exchange {
		const {host, port} = parseAddress(target.description.address);
		const request = openRequest({
			host, port, method: outbound.method, path: outbound.path, setHost: false, maxHeaderSize: maximumHeaderBytes,
			agent: outbound.shouldUseNewConnection ? this.freshAgent : this.openAgent(target),
			headers: buildHeaders(outbound) as unknown as Record<string, string>,
		});
		return new RunningExchange(request, outbound.body, listener);
	}

	/** Closes the connections to targets that are not in `targets` any more. */
	prune(targets: ReadonlySet<FleetTarget>): void {
		for (const [target, agent] of this.agents) {
			if (!targets.has(target) && Object.keys(agent.sockets).length === 0) {
				agent.destroy();
				this.agents.delete(target);
			}
		}
	}

	private openAgent(target: FleetTarget): Agent {
		let agent = this.agents.get(target);
		if (agent === undefined) {
			agent = new Agent({
				keepAlive: true, maxFreeSockets: maximumIdle, timeout: longestIdleMs, scheduling: 'lifo',
			});
			this.agents.set(target, agent);
		}

		return agent;
	}
}

class RunningExchange implements Exchange {
	private stage: ExchangeStage = 'notSent';
	private isDone = false;
	private response: IncomingMessage | undefined;
	private readonly connectTimer: NodeJS.Timeout;

	constructor(private readonly request: ClientRequest, body: Buffer | undefined, private readonly listener: ExchangeListener) {
		this.connectTimer = setTimeout(() => {
			this.fail(new Error('connect timeout'));
		}, connectTimeoutMs);
		request.once('socket', socket => {
			if (!socket.connecting) {
				this.markSent();
				return;
			}

			socket.once('connect', () => {
				this.markSent();
			});
		});
		request.once('response', response => {
			this.receive(response);
		});
		request.on('error', error => {
			this.fail(error);
		});
		// The socket's idle timeout of the agent must not end a call in progress.
		request.setTimeout(0);
		request.end(body);
	}

	pause(): void {
		this.response?.pause();
	}

	resume(): void {
		this.response?.resume();
	}

	abort(): void {
		this.isDone = true;
		clearTimeout(this.connectTimer);
		this.request.destroy();
	}

	private markSent(): void {
		clearTimeout(this.connectTimer);
		this.stage = 'sent';
	}

	private receive(response: IncomingMessage): void {
		if (this.isDone) {
			return;
		}

		this.response = response;
		this.stage = 'answering';
		response.on('data', (chunk: Buffer) => {
			if (!this.isDone) {
				this.listener.onChunk(chunk);
			}
		});
		response.once('end', () => {
			if (response.complete) {
				this.finish();
			} else {
				this.fail(new Error('answer cut'));
			}
		});
		response.once('error', error => {
			this.fail(error);
		});
		response.once('close', () => {
			this.fail(new Error('answer cut'));
		});
		this.listener.onHead(response.statusCode ?? 0, response.rawHeaders);
	}

	private finish(): void {
		if (!this.isDone) {
			this.isDone = true;
			this.listener.onEnd();
		}
	}

	private fail(error: Error): void {
		if (!this.isDone) {
			this.abort();
			this.listener.onFailure(this.stage, error);
		}
	}
}

/** Adds the length of the body. A request without a body has none, so that it looks like the caller's. */
function buildHeaders({headers, body}: OutboundRequest): string[] {
	return body === undefined ? [...headers] : [...headers, 'Content-Length', String(body.length)];
}
