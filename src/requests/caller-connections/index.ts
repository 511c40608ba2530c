/** The connections of callers, and the requests on them that are being received or answered. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {abortResponse} from '../../http/abort-response/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';
import {sendRawError, type OpenExchange} from '../answer-client-error/index.js';

/** Admits connections up to a limit and keeps track of what happens on them. */
export class CallerConnections {
	private readonly sockets = new Set<Socket>();
	private readonly exchanges = new WeakMap<Duplex, Set<OpenExchange>>();
	private readonly responses = new Set<ServerResponse>();
	private isClosing = false;

	constructor(private readonly maximumConnections: number) {}

	/** Number of admitted connections that are open. */
	get count(): number {
		return this.sockets.size;
	}

	/**
	 * Admits a connection, or refuses one over the limit with an error response, so that callers can tell an overloaded
	 * instance from a dead one. Returns whether it is admitted.
	 */
	admit(socket: Socket): boolean {
		if (this.sockets.size >= this.maximumConnections) {
			sendRawError(socket, createRouterError('overloaded', 'too many connections', {retryAfterSeconds: 1}));
			return false;
		}

		this.sockets.add(socket);
		socket.once('close', () => {
			this.sockets.delete(socket);
		});
		return true;
	}

	/** Whether a request on `socket` may run: not if the connection was refused or is closing, of which its caller has been told. */
	canServe(socket: Socket): boolean {
		return this.sockets.has(socket) && !socket.writableEnded;
	}

	/** Tracks a request until its response has ended. */
	trackExchange(message: IncomingMessage, response: ServerResponse): void {
		const {socket} = message;
		const exchange = {message, response};
		const openExchanges = this.exchanges.get(socket) ?? new Set();
		this.exchanges.set(socket, openExchanges.add(exchange));
		this.responses.add(response);
		response.once('close', () => {
			openExchanges.delete(exchange);
			this.responses.delete(response);
		});
		if (this.isClosing) {
			response.shouldKeepAlive = false;
		}
	}

	/** Lists the open exchanges of a connection. There may be several, since callers may pipeline requests. */
	listExchanges(socket: Duplex): ReadonlySet<OpenExchange> {
		return this.exchanges.get(socket) ?? new Set();
	}

	/** Sends `Connection: close` with the responses that have not begun, and with all later ones. */
	leave(): void {
		this.isClosing = true;
		for (const response of this.responses) {
			// Has no effect once the headers are sent; that connection is closed when it becomes idle.
			response.shouldKeepAlive = false;
		}
	}

	/** Breaks off all responses. */
	abortResponses(): void {
		for (const response of this.responses) {
			abortResponse(response);
		}
	}
}
