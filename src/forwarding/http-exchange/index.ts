/**
 * One request to a target and what comes back on its connection.
 *
 * What arrives in one read from the connection is passed on as one chunk, because each chunk costs objects, calls and a write
 * to the caller, however short it is.
 */

import type {ClientRequest, IncomingMessage} from 'node:http';
import process from 'node:process';
import {isFinalStatus} from '../../http/is-final-status/index.js';
import {maximumPiecesPerRead, type ReadTurns} from '../../http/read-turns/index.js';
import type {TargetSocket} from '../../http/target-socket/index.js';
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

/** Controls an exchange in progress. */
export type Exchange = {
	pause(): void;
	resume(): void;
	/** Ends the exchange and its connection; no further callback follows. */
	abort(): void;
};

/** Connect timeout; targets are a few milliseconds away. */
const connectTimeoutMs = 400;
/** Bytes of a paused response from which on nothing is read from its connection. */
const maximumWaitingBytes = 16 * 1024;
/** Maximum number of interim (1xx) responses. A target that sends them without end never answers. */
const maximumInterimResponses = 16;

/** An exchange over HTTP/1.1. */
export class HttpExchange implements Exchange {
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

	/** `request` goes over a `TargetSocket`; `turns` are shared by all exchanges of the process. */
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
