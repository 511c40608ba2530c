/** HTTP/1.1 server for callers: finds the route, checks the key, forwards the call and returns the answer. */

import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {abortResponse} from '../../http/abort-response/index.js';
import {beginResponse} from '../../http/begin-response/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import {readBody} from '../../http/read-body/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {CallerSink, InboundCall} from '../../forwarding/call-types/index.js';
import {CallSession} from '../../forwarding/call-session/index.js';
import {drawService} from '../../forwarding/draw-service/index.js';
import type {ForwardingContext} from '../../forwarding/forwarding-context/index.js';
import {hashKey} from '../../keys/hash-key/index.js';
import {
	convertToRouterError, createRouterError, formatErrorBody, type RouterError,
} from '../../results/create-router-error/index.js';
import type {RoutingTable} from '../../routing/routing-table/index.js';
import type {CallerLimits, CallerOrganisation, Route} from '../../routing/routing-types/index.js';

/** Converts between the HTTP messages of callers and the types of the forwarding core. */
export type CallerProtocol = {
	/** Parses the head of a call; throws a `RouterError` if it is invalid. */
	readCall(message: IncomingMessage): InboundCall;
	/** Returns the header names and values of an error answer, alternating. */
	buildErrorHeaders(error: RouterError, call: InboundCall | undefined): string[];
};

/** Options of the call listener. */
export type CallListenerOptions = {
	readonly context: ForwardingContext;
	readonly protocol: CallerProtocol;
	/** Returns the routing table in force; undefined before the first configuration. */
	readonly readTable: () => RoutingTable | undefined;
};

type ResolvedCall = {readonly call: InboundCall; readonly route: Route; readonly organisation: CallerOrganisation | undefined};

/** Interval between checks for calls whose target has gone silent, in milliseconds. */
const silenceCheckIntervalMs = 150;
/** Maximum number of connections that wait to be accepted; a burst above it is delayed by seconds. */
const connectionBacklog = 4096;
const maximumHeaderBytes = 16_384;
/** Interval between checks for requests that exceed the header or request timeout, in milliseconds. */
const connectionCheckIntervalMs = 1000;
/** Maximum time for a complete request to arrive, in milliseconds. */
const requestTimeoutMs = 30_000;
/** Maximum size of a request body until a configuration sets a limit, in bytes. */
const defaultMaximumBodyBytes = 1_048_576;
/** Time for which the remaining request body is read after an error answer, in milliseconds. */
const discardTimeoutMs = 1000;

/** HTTP server for callers. */
export class CallListener {
	/** Whether the instance is leaving; answers then close their connection so that callers reconnect elsewhere. */
	isLeaving = false;
	private readonly server: Server;
	private readonly sessions = new Set<CallSession>();
	private isSilenceCheckScheduled = false;

	constructor(private readonly options: CallListenerOptions) {
		this.server = createServer({
			maxHeaderSize: maximumHeaderBytes, connectionsCheckingInterval: connectionCheckIntervalMs, requestTimeout: requestTimeoutMs, noDelay: true,
		}, (message, response) => {
			void this.serve(message, response);
		});
	}

	get callsInProgress(): number {
		return this.sessions.size;
	}

	/** Starts listening; returns `host:port`. */
	async listen(address: string): Promise<string> {
		const {host, port} = parseAddress(address);
		this.server.listen(port, host, connectionBacklog);
		await once(this.server, 'listening');
		return `${host}:${(this.server.address() as AddressInfo).port}`;
	}

	/** Applies the timeouts of a new configuration. */
	applyLimits(limits: CallerLimits): void {
		this.server.keepAliveTimeout = limits.idleTimeoutMs;
		this.server.headersTimeout = limits.headerTimeoutMs;
	}

	/** Closes the listener and the idle connections. */
	close(): void {
		this.server.close();
		this.server.closeIdleConnections();
	}

	/** Aborts all calls in progress. */
	abortCalls(): void {
		for (const session of this.sessions) {
			session.terminate();
		}
	}

	private async serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const arrivedAt = this.options.context.clock.readMonotonic();
		if (this.isLeaving) {
			response.shouldKeepAlive = false;
		}

		let call: InboundCall | undefined;
		try {
			call = this.options.protocol.readCall(message);
			const table = this.options.readTable();
			const resolvedCall = this.resolveCall(call, table);
			const body = await readBody(message, table?.configuration.limits.maximumBodyBytes ?? defaultMaximumBodyBytes);
			await this.forward(resolvedCall, body, response, arrivedAt);
		} catch (error) {
			this.refuse(response, convertToRouterError(error), call);
			discardRemainingBody(message);
		}
	}

	/** Finds the route and organisation of a call; throws a `RouterError` if the call may not be served. */
	private resolveCall(call: InboundCall, table: RoutingTable | undefined): ResolvedCall {
		if (table === undefined) {
			throw createRouterError('notReady', undefined, {retryAfterSeconds: 0.2});
		}

		const route = table.findRoute(call.host, call.path);
		if (route === undefined) {
			throw createRouterError('notFound');
		}

		const organisation = call.key === undefined ? undefined : table.findOrganisationByKey(hashKey(call.key));
		const needsKey = !route.isOpen && table.configuration.organisations.length > 0;
		if (organisation === undefined && needsKey) {
			throw createRouterError('unauthenticated');
		}

		return {call, route, organisation};
	}

	private async forward({call, route, organisation}: ResolvedCall, body: Buffer, response: ServerResponse, arrivedAt: MonotonicMs): Promise<void> {
		const {context} = this.options;
		const service = drawService(route, call, context.draw);
		if (service === undefined) {
			throw createRouterError('noTarget', 'the route has no service with a positive weight');
		}

		const session = new CallSession({
			call, route, service, organisation, arrivedAt,
			body: body.length === 0 ? undefined : body,
			sink: createCallerSink(response),
			refuse: error => {
				this.refuse(response, error, call);
			},
		}, context);
		response.once('close', () => {
			if (!response.writableFinished) {
				session.abandon();
			}
		});
		this.sessions.add(session);
		this.scheduleSilenceCheck();
		await session.run();
		this.sessions.delete(session);
	}

	private refuse(response: ServerResponse, error: RouterError, call: InboundCall | undefined): void {
		const {logger} = this.options.context;
		logger.info('call refused', {
			id: call?.id, code: error.entry.code, name: error.entry.name, status: error.entry.httpStatus, retryAfter: error.retryAfterSeconds, path: call?.path,
		});
		if (error.entry.name === 'internalError') {
			logger.error('internal error', {id: call?.id, reason: error.cause?.stack ?? error.message});
		}

		if (response.headersSent || response.destroyed) {
			abortResponse(response);
			return;
		}

		const body = JSON.stringify(formatErrorBody(error));
		response.writeHead(error.entry.httpStatus, [
			...this.options.protocol.buildErrorHeaders(error, call),
			'content-type',
			'application/json',
			'content-length',
			String(Buffer.byteLength(body)),
		]);
		response.end(body);
	}

	private scheduleSilenceCheck(): void {
		if (this.isSilenceCheckScheduled) {
			return;
		}

		this.isSilenceCheckScheduled = true;
		setTimeout(() => {
			this.isSilenceCheckScheduled = false;
			const now = this.options.context.clock.readMonotonic();
			for (const session of this.sessions) {
				session.checkAttempt(now);
			}

			if (this.sessions.size > 0) {
				this.scheduleSilenceCheck();
			}
		}, silenceCheckIntervalMs);
	}
}

function createCallerSink(response: ServerResponse): CallerSink {
	return {
		begin(status, headers, isUnframed) {
			beginResponse(response, {status, headers, isUnframed});
		},
		write: chunk => response.write(chunk),
		end() {
			response.end();
		},
		destroy() {
			abortResponse(response);
		},
		onDrain(listener) {
			response.once('drain', listener);
		},
	};
}

/** Reads the remaining request body for a limited time, because closing a connection with unread bytes resets it and loses the answer. */
function discardRemainingBody(message: IncomingMessage): void {
	if (message.complete || message.destroyed) {
		return;
	}

	message.resume();
	const timer = setTimeout(() => {
		message.destroy();
	}, discardTimeoutMs);
	message.once('close', () => {
		clearTimeout(timer);
	});
}
