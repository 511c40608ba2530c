/** HTTP/1.1 server for callers: its connections, and what concerns all of its calls. */

import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {IdleConnections} from '../../http/idle-connections/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import {stopListening} from '../../http/stop-listening/index.js';
import {waitForArrivedData} from '../../http/wait-for-arrived-data/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {ConnectionLimit} from '../../intake/connection-limit/index.js';
import {answerClientError, sendRawError} from '../../requests/answer-client-error/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';
import type {RoutingTable} from '../../routing/routing-table/index.js';
import {CallHandler, type CallHandlerOptions, type Departure} from '../call-handler/index.js';
import {CallsInProgress} from '../calls-in-progress/index.js';

/** Maximum number of connections that wait to be accepted; a burst above it is delayed by seconds. */
const connectionBacklog = 4096;
const maximumHeaderBytes = 16_384;
/** Code of the error of a connection whose request has not arrived in time. */
const requestTimeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';
/** Interval between checks for requests that exceed the header or request timeout, in milliseconds. */
const connectionCheckIntervalMs = 1000;
/** Maximum time for a complete request to arrive, in milliseconds. */
const requestTimeoutMs = 30_000;
/** Connections over the limit that are still accepted so that they get an error response. */
const maximumSurplusConnections = 64;

/** Dependencies of a listener. */
export type CallListenerOptions = CallHandlerOptions & {
	/** Connections that callers may open; undefined if they are not limited. */
	readonly maximumConnections?: number | undefined;
};

/** HTTP server for callers. */
export class CallListener {
	private readonly server: Server;
	private readonly calls: CallsInProgress;
	private readonly handler: CallHandler;
	private readonly idleConnections: IdleConnections;
	/** Undefined if the connections are not limited. */
	private readonly connectionLimit: ConnectionLimit | undefined;

	constructor(private readonly options: CallListenerOptions) {
		const {clock} = options.context;
		this.calls = new CallsInProgress(clock);
		this.handler = new CallHandler(options, this.calls);
		this.server = createServer({
			maxHeaderSize: maximumHeaderBytes, connectionsCheckingInterval: connectionCheckIntervalMs, requestTimeout: requestTimeoutMs, noDelay: true,
		}, (message, response) => {
			if (this.connectionLimit?.has(message.socket) === false) {
				return;
			}

			this.idleConnections.follow(response);
			this.handler.handle(message, response);
		});
		// A caller that ends its sending side still gets its answer; see `CallerWatch`.
		Object.assign(this.server, {httpAllowHalfOpen: true});
		this.server.on('clientError', (error, socket) => {
			void this.handleClientError(error, socket as Socket);
		});
		this.idleConnections = new IdleConnections(this.server, clock);
		options.intake.addAnswers(() => this.calls.listResponses());
		this.connectionLimit = options.maximumConnections === undefined ? undefined : this.limitConnections(options.maximumConnections);
	}

	/** Calls that are read, served or passed on, or whose answers are not yet written as a whole. */
	get callsInProgress(): number {
		return this.calls.count;
	}

	/** Starts listening; returns `host:port`. */
	async listen(address: string): Promise<string> {
		const {host, port} = parseAddress(address);
		this.server.listen(port, host, connectionBacklog);
		await once(this.server, 'listening');
		return `${host}:${(this.server.address() as AddressInfo).port}`;
	}

	/** Applies a new configuration to connections and to the calls in progress. */
	applyConfiguration(table: RoutingTable): void {
		const {limits, revision} = table.configuration;
		this.idleConnections.setLimit(limits.idleTimeoutMs);
		this.server.headersTimeout = limits.headerTimeoutMs;
		const extended = this.calls.applyRoutes(id => table.findRouteById(id));
		if (extended > 0) {
			this.options.context.logger.info('deadlines of calls in progress extended', {revision, calls: extended});
		}
	}

	/** Serves a call that another instance passes on. */
	serveHandedOver(message: IncomingMessage, response: ServerResponse): void {
		this.handler.handleHandedOver(message, response);
	}

	/** Asks callers to reconnect elsewhere, and from a time on takes no more calls than can be answered before the end. */
	leave(departure: Departure): void {
		this.handler.leave(departure);
	}

	/** Refuses all calls from now on, because the process ends before any of them could be answered. */
	refuseCalls(): void {
		this.leave({acceptsAllUntil: -Infinity as MonotonicMs, endsAt: -Infinity as MonotonicMs});
	}

	/** Accepts the connections that wait, then closes the listener and the idle connections. */
	async close(): Promise<void> {
		await stopListening(this.server);
		this.server.closeIdleConnections();
	}

	/** Destroys all connections at once, as the end of the process does. */
	destroyConnections(): void {
		this.server.closeAllConnections();
	}

	/** Aborts all calls in progress. */
	abortCalls(): void {
		this.calls.abort();
	}

	/** Resolves when all answers are written, at the latest after `timeoutMs`. */
	async flushAnswers(timeoutMs: number): Promise<void> {
		await this.calls.flush(timeoutMs);
	}

	/** Bounds the connections. One that is refused is told so; any beyond a few of these are closed without an answer. */
	private limitConnections(maximumConnections: number): ConnectionLimit {
		const {intake, context: {clock}} = this.options;
		const limit = new ConnectionLimit(maximumConnections, () => this.calls.readConnectionStates());
		intake.addConnectionLimit(limit);
		this.server.maxConnections = maximumConnections + maximumSurplusConnections;
		this.server.on('connection', socket => {
			intake.scheduleCheck();
			if (!limit.admit(socket, clock.readMonotonic())) {
				sendRawError(socket, createRouterError('overloaded', 'too many connections', {retryAfterSeconds: 1}));
			}
		});
		return limit;
	}

	/** Answers what is no valid request, unless a call on the connection is still to be answered, or the rest of its head waits unread. */
	private async handleClientError(error: NodeJS.ErrnoException, socket: Socket): Promise<void> {
		if (socket.destroyed && this.calls.listExchanges(socket).size > 0) {
			// The connection of a call broke, which `logIncompleteAnswer` tells.
			return;
		}

		const {bytesRead, bytesWritten} = socket;
		if (error.code === requestTimeoutCode) {
			await waitForArrivedData();
			if (socket.bytesRead > bytesRead) {
				await delay(this.server.headersTimeout);
			}

			if (socket.bytesWritten > bytesWritten) {
				return;
			}
		}

		this.options.context.logger.info('connection without a valid request', {code: error.code, reason: error.message, readBytes: socket.bytesRead});
		answerClientError(error, socket, this.calls.listExchanges(socket));
	}
}
