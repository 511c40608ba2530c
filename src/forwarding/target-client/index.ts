/**
 * HTTP client for requests to targets.
 *
 * Calls that may run at most once get a new connection. On a reused one, a reset would not tell whether the
 * call ran, and a late response to an earlier call could arrive first. Node's own client is used because it
 * distinguishes a truncated chunked response from a complete one, even with `Connection: close`.
 *
 * What arrives in one read from the connection is passed on as one chunk, because each chunk costs objects, calls and a write
 * to the caller, however short it is.
 */

import {
	Agent, request as openRequest, type ClientRequest, type IncomingMessage,
} from 'node:http';
import type {TcpNetConnectOpts} from 'node:net';
import process from 'node:process';
import type {TargetDescription} from '../../fleet/fleet-target/index.js';
import {isFinalStatus} from '../../http/is-final-status/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import {maximumPiecesPerRead, ReadTurns} from '../../http/read-turns/index.js';
import {openTargetSocket, type TargetSocket} from '../../http/target-socket/index.js';
import {waitForArrivedData} from '../../http/wait-for-arrived-data/index.js';
import {ByteCollector} from '../../streams/byte-collector/index.js';

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
/** Bytes of a paused response from which on nothing is read from its connection. */
const maximumWaitingBytes = 16 * 1024;
/** Maximum number of interim (1xx) responses. A target that sends them without end never answers. */
const maximumInterimResponses = 16;

/** Sends requests to targets and pools their connections. */
export class TargetClient {
	private readonly agents = new Map<Destination, Agent>();
	private readonly turns = new ReadTurns();
	private readonly singleUseAgent = new TargetAgent({keepAlive: false, maxSockets: Infinity});

	/** Sends a request; the response goes to `listener`. */
	start(target: Destination, outbound: OutboundRequest, listener: ExchangeListener): Exchange {
		const {host, port} = parseAddress(target.description.address);
		const request = openRequest({
			host, port, method: outbound.method, path: outbound.path, setHost: false, maxHeaderSize: maximumHeaderBytes,
			agent: outbound.shouldUseNewConnection ? this.singleUseAgent : this.findOrCreateAgent(target),
			headers: buildHeaders(outbound) as unknown as Record<string, string>,
		});
		return new HttpExchange(request, outbound.body, listener, this.turns);
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
	private socket: TargetSocket | undefined;
	private interimResponses = 0;
	private isPaused = false;
	/** Whether the whole response has arrived; its end may not have been passed on yet. */
	private isComplete = false;
	/** Whether nothing is read from the connection until its turn has come. */
	private isWaitingForTurn = false;
	/** Bytes of the body that have arrived and were not passed on yet. */
	private readonly arrived = new ByteCollector();
	/** Number of chunks in which they came. */
	private arrivedPieces = 0;
	private readonly connectTimer: NodeJS.Timeout;

	constructor(
		private readonly request: ClientRequest,
		body: Buffer | undefined,
		private readonly listener: ExchangeListener,
		private readonly turns: ReadTurns,
	) {
		this.connectTimer = setTimeout(() => {
			void this.failUnlessConnected();
		}, connectTimeoutMs);
		request.once('socket', socket => {
			this.socket = socket as TargetSocket;
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

	/** The response itself isn't paused, since it would keep each short chunk as an object. */
	pause(): void {
		this.isPaused = true;
	}

	resume(): void {
		if (this.isDone || !this.isPaused) {
			return;
		}

		this.isPaused = false;
		this.resumeReading();
		this.schedulePassing();
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

		this.stage = 'responding';
		const status = response.statusCode ?? 0;
		if (!isFinalStatus(status)) {
			this.fail(new Error(`the answer has status ${status}, which HTTP doesn't have`));
			return;
		}

		response.on('data', (chunk: Buffer) => {
			this.collect(chunk);
		});
		response.once('end', () => {
			if (response.complete) {
				this.complete();
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

	private collect(chunk: Buffer): void {
		if (this.isDone) {
			return;
		}

		if (this.arrived.sizeBytes === 0) {
			this.schedulePassing();
		}

		this.arrived.add(chunk);
		this.arrivedPieces += 1;
		if (this.isPaused && this.arrived.sizeBytes >= maximumWaitingBytes) {
			this.socket?.hold();
		}
	}

	/** The next tick comes when all chunks of this read have arrived. */
	private schedulePassing(): void {
		process.nextTick(() => {
			this.passOn();
		});
	}

	private resumeReading(): void {
		if (!this.isDone && !this.isComplete && !this.isPaused && !this.isWaitingForTurn) {
			this.socket?.release();
		}
	}

	/** Reads on in a later turn of the event loop if the last read came in many pieces. */
	private waitForTurn(): void {
		const pieces = this.arrivedPieces;
		this.arrivedPieces = 0;
		if (pieces <= maximumPiecesPerRead || this.isDone || this.isComplete || this.isWaitingForTurn) {
			return;
		}

		this.isWaitingForTurn = true;
		this.socket?.hold();
		this.turns.wait(() => {
			this.isWaitingForTurn = false;
			this.resumeReading();
		});
	}

	/** Passes on what has arrived. */
	private passOn(): void {
		this.waitForTurn();
		if (!this.isDone && !this.isPaused && this.arrived.sizeBytes > 0) {
			this.listener.onChunk(this.arrived.take());
		}

		if (!this.isDone && !this.isPaused && this.isComplete) {
			this.isDone = true;
			this.listener.onEnd();
		}
	}

	private complete(): void {
		this.isComplete = true;
		// The connection may serve other requests from now on.
		this.socket?.release();
		this.passOn();
	}

	private fail(error: Error): void {
		if (this.isComplete) {
			return;
		}

		this.passOn();
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
