/**
 * HTTP client for requests to targets.
 *
 * Calls that may run at most once get a new connection. On a reused one, a reset would not tell whether the
 * call ran, and a late response to an earlier call could arrive first. Node's own client is used because it
 * distinguishes a truncated chunked response from a complete one, even with `Connection: close`.
 */

import {
	Agent, request as openRequest, type ClientRequest, type IncomingMessage,
} from 'node:http';
import type {TcpNetConnectOpts} from 'node:net';
import type {TargetDescription} from '../../fleet/fleet-target/index.js';
import {isFinalStatus} from '../../http/is-final-status/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import {openTargetSocket, type TargetSocket} from '../../http/target-socket/index.js';
import {waitForArrivedData} from '../../http/wait-for-arrived-data/index.js';

/** Progress of an exchange when it failed. */
export type ExchangeStage = 'notSent' | 'sent' | 'responding';

/** Receives the response to one request. */
export type ExchangeListener = {
	/** A new connection was made for the request. */
	onConnected?(): void;
	onHead(status: number, rawHeaders: readonly string[]): void;
	onChunk(chunk: Buffer): void;
	onEnd(): void;
	onFailure(stage: ExchangeStage, error: Error): void;
};

/** A request to a target. */
export type OutboundRequest = {
	readonly method: string;
	readonly path: string;
	/** Alternating names and values. */
	readonly headers: readonly string[];
	readonly body: Buffer | undefined;
	readonly shouldUseNewConnection: boolean;
};

/** What listens at the address; connections are pooled by it. */
export type Destination = {readonly description: Pick<TargetDescription, 'address'>};

/** Controls an exchange in progress. */
export type Exchange = {
	pause(): void;
	resume(): void;
	/** Ends the exchange and its connection; no further callback follows. */
	abort(): void;
};

/** Connect timeout; targets are a few milliseconds away. */
const connectTimeoutMs = 400;
/** Idle connections kept open to each target. */
const maximumIdleConnectionsPerTarget = 4;
/** Idle time after which a pooled connection is closed. */
const connectionIdleTimeoutMs = 3000;
const maximumHeaderBytes = 32 * 1024;
/** Maximum number of interim (1xx) responses. A target that sends them without end never answers. */
const maximumInterimResponses = 16;

/** Sends requests to targets and pools their connections. */
export class TargetClient {
	private readonly agents = new Map<Destination, Agent>();
	private readonly singleUseAgent = new TargetAgent({keepAlive: false, maxSockets: Infinity});

	/** Sends a request; the response goes to `listener`. */
	start(target: Destination, outbound: OutboundRequest, listener: ExchangeListener): Exchange {
		const {host, port} = parseAddress(target.description.address);
		const request = openRequest({
			host, port, method: outbound.method, path: outbound.path, setHost: false, maxHeaderSize: maximumHeaderBytes,
			agent: outbound.shouldUseNewConnection ? this.singleUseAgent : this.findOrCreateAgent(target),
			headers: buildHeaders(outbound) as unknown as Record<string, string>,
		});
		return new HttpExchange(request, outbound.body, listener);
	}

	/** Closes the pools of targets that are not in `targets` and have no request in flight. */
	prune(targets: ReadonlySet<Destination>): void {
		for (const [target, agent] of this.agents) {
			if (!targets.has(target) && Object.keys(agent.sockets).length === 0) {
				agent.destroy();
				this.agents.delete(target);
			}
		}
	}

	private findOrCreateAgent(target: Destination): Agent {
		let agent = this.agents.get(target);
		if (agent === undefined) {
			agent = new TargetAgent({
				keepAlive: true, maxFreeSockets: maximumIdleConnectionsPerTarget, timeout: connectionIdleTimeoutMs, scheduling: 'lifo',
			});
			this.agents.set(target, agent);
		}

		return agent;
	}
}

class TargetAgent extends Agent {
	override createConnection(options: unknown): TargetSocket {
		return openTargetSocket(options as TcpNetConnectOpts);
	}
}

class HttpExchange implements Exchange {
	private stage: ExchangeStage = 'notSent';
	private isDone = false;
	private response: IncomingMessage | undefined;
	private interimResponses = 0;
	private readonly connectTimer: NodeJS.Timeout;

	constructor(private readonly request: ClientRequest, body: Buffer | undefined, private readonly listener: ExchangeListener) {
		this.connectTimer = setTimeout(() => {
			void this.failUnlessConnected();
		}, connectTimeoutMs);
		request.once('socket', socket => {
			if (!socket.connecting) {
				this.markSent();
				return;
			}

			socket.once('connect', () => {
				this.markSent();
				listener.onConnected?.();
			});
		});
		request.on('information', () => {
			this.interimResponses += 1;
			if (this.interimResponses > maximumInterimResponses) {
				this.fail(new Error('the target sends interim responses without an answer'));
			}
		});
		request.once('response', response => {
			this.receive(response);
		});
		request.once('upgrade', () => {
			this.fail(new Error('the target switches protocols'));
		});
		request.on('error', error => {
			this.fail(error);
		});
		// Disables the agent's idle timeout for this request, so that it cannot end a call in progress.
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
		if (this.isDone) {
			return;
		}

		this.isDone = true;
		clearTimeout(this.connectTimer);
		this.request.destroy();
	}

	/** Ends an exchange whose connection has taken too long, unless it was made while the event loop was late. */
	private async failUnlessConnected(): Promise<void> {
		await waitForArrivedData();
		if (this.stage === 'notSent') {
			this.fail(new Error('connecting to the target timed out'));
		}
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
		this.stage = 'responding';
		const status = response.statusCode ?? 0;
		if (!isFinalStatus(status)) {
			this.fail(new Error(`the answer has status ${status}, which HTTP doesn't have`));
			return;
		}

		response.on('data', (chunk: Buffer) => {
			if (!this.isDone) {
				this.listener.onChunk(chunk);
			}
		});
		response.once('end', () => {
			if (response.complete) {
				this.finish();
			} else {
				this.fail(new Error('connection closed before the response was complete'));
			}
		});
		response.once('error', error => {
			this.fail(error);
		});
		response.once('close', () => {
			this.fail(new Error('connection closed before the response was complete'));
		});
		this.listener.onHead(status, response.rawHeaders);
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

/** Adds the Content-Length header. A request without a body gets none, so that it matches the caller's request. */
function buildHeaders({headers, body}: OutboundRequest): string[] {
	return body === undefined ? [...headers] : [...headers, 'Content-Length', String(body.length)];
}
