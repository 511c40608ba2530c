/** One HTTP connection to a target, with one call at a time. */

import type {Socket} from 'node:net';
import {buildConnector, Client, type Dispatcher} from 'undici';

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
	readonly headers: readonly string[];
	readonly body: Buffer | undefined;
};

/** Controls an exchange in progress. */
export type Exchange = {
	pause(): void;
	resume(): void;
	/** Ends the exchange and its connection; no further callback follows. */
	abort(): void;
};

/** Idle time after which the connection is closed when the target names none, in milliseconds. */
const idleTimeoutMs = 4000;
/** Time before the target's own idle timeout at which the connection is no longer used, in milliseconds. */
const idleMarginMs = 1000;
const maximumHeaderBytes = 32 * 1024;

/** A connection that is opened with its first call. */
export class TargetConnection {
	private readonly client: Client;
	private socket: Socket | undefined;
	private wasReset = false;
	private isBusy = false;

	constructor(address: string, connectTimeoutMs: number) {
		const connect = buildConnector({timeout: connectTimeoutMs});
		this.client = new Client(`http://${address}`, {
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: idleTimeoutMs,
			keepAliveTimeoutThreshold: idleMarginMs,
			maxHeaderSize: maximumHeaderBytes,
			connect: (options, callback) => {
				connect(options, (...result: Parameters<typeof callback>) => {
					// After an error there is no socket, whatever the type of the library says.
					const [error, socket] = result;
					if (error === null) {
						this.observe(socket as Socket);
					}

					callback(...result);
				});
			},
		});
		this.client.on('disconnect', () => {
			this.socket = undefined;
		});
	}

	/** Whether an established connection waits for a call. */
	get isReusable(): boolean {
		return !this.isBusy && this.socket !== undefined && !this.client.destroyed;
	}

	/** Sends a call. */
	start(request: OutboundRequest, listener: ExchangeListener): Exchange {
		this.isBusy = true;
		this.wasReset = false;
		let stage: ExchangeStage = 'notSent';
		let isDone = false;
		let controller: Dispatcher.DispatchController | undefined;
		const fail = (error: Error) => {
			if (!isDone) {
				isDone = true;
				this.close();
				listener.onFailure(stage, error);
			}
		};

		this.client.dispatch({
			path: request.path,
			method: request.method as Dispatcher.HttpMethod,
			headers: [...request.headers],
			body: request.body ?? null,
		}, {
			onRequestStart(started) {
				stage = 'sent';
				controller = started;
			},
			onResponseStart(_controller, status) {
				if (!isDone && status >= 200) {
					stage = 'answering';
					listener.onHead(status, decodeHeaders(controller?.rawHeaders));
				}
			},
			onResponseData(_controller, chunk) {
				if (!isDone) {
					listener.onChunk(chunk);
				}
			},
			onResponseEnd: () => {
				// The library takes a reset for the end of an answer without length.
				if (this.wasReset) {
					fail(new Error('connection reset within the answer'));
				} else if (!isDone) {
					isDone = true;
					this.isBusy = false;
					listener.onEnd();
				}
			},
			onResponseError(_controller, error) {
				fail(error);
			},
		});
		return {
			pause() {
				controller?.pause();
			},
			resume() {
				controller?.resume();
			},
			abort: () => {
				isDone = true;
				this.close();
			},
		};
	}

	/** Closes the connection at once. */
	close(): void {
		this.client.destroy(() => {
			// Nothing waits for the end of a connection that is no longer used.
		});
	}

	private observe(socket: Socket): void {
		this.socket = socket;
		socket.setNoDelay(true);
		socket.prependListener('error', () => {
			this.wasReset = true;
		});
	}
}

function decodeHeaders(rawHeaders: unknown): string[] {
	return Array.isArray(rawHeaders) ? (rawHeaders as Array<Buffer | string>).map(part => typeof part === 'string' ? part : part.toString('latin1')) : [];
}
