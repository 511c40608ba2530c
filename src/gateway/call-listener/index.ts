/** The listener for callers: HTTP/1.1 in, checks of route and key, and the answer back. */

import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {parseAddress} from '../../http/parse-address/index.js';
import {readBody} from '../../http/read-body/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {CallerSink, InboundCall} from '../../forwarding/call-types/index.js';
import {CallSession} from '../../forwarding/call-session/index.js';
import type {ForwardingContext} from '../../forwarding/forwarding-context/index.js';
import {hashKey} from '../../keys/hash-key/index.js';
import {
	convertToRouterError, createRouterError, formatErrorBody, type RouterError,
} from '../../results/create-router-error/index.js';
import {chooseService} from '../../routing/choose-service/index.js';
import type {RoutingTable} from '../../routing/routing-table/index.js';
import type {CallerLimits, CallerOrganisation, Route} from '../../routing/routing-types/index.js';

/** Translates between HTTP messages of callers and the core. */
export type CallerProtocol = {
	/** Reads the head of a call; throws a `RouterError` when it is not valid. */
	readCall(message: IncomingMessage): InboundCall;
	/** Header names and values of an error answer, in turn. */
	buildErrorHeaders(error: RouterError, call: InboundCall | undefined): string[];
};

/** What the listener needs. */
export type CallListenerOptions = {
	readonly context: ForwardingContext;
	readonly protocol: CallerProtocol;
	/** Table in force; undefined before the first configuration. */
	readonly readTable: () => RoutingTable | undefined;
};

type CheckedCall = {readonly call: InboundCall; readonly route: Route; readonly organisation: CallerOrganisation | undefined};

/** Interval of the checks for silent calls, in milliseconds. */
const silenceCheckMs = 150;
/** Connections that wait to be accepted; a burst beyond it would be delayed by seconds. */
const connectionBacklog = 4096;
const maximumHeaderBytes = 16_384;
/** Interval in which the server looks for headers that take too long, in milliseconds. */
const connectionCheckMs = 1000;
/** Time for a whole request to arrive, in milliseconds. */
const requestTimeoutMs = 30_000;
/** Bodies are refused above this size while no configuration sets a limit, in bytes. */
const defaultBodyBytes = 1_048_576;
/** Time after an error answer for which the rest of the body is read, in milliseconds. */
const discardMs = 1000;

/** HTTP server for callers. */
export class CallListener {
	/** Whether callers are asked to open further connections elsewhere. */
	isLeaving = false;
	private readonly server: Server;
	private readonly sessions = new Set<CallSession>();
	private isWatchingSilence = false;

	constructor(private readonly options: CallListenerOptions) {
		this.server = createServer({
			maxHeaderSize: maximumHeaderBytes, connectionsCheckingInterval: connectionCheckMs, requestTimeout: requestTimeoutMs, noDelay: true,
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

	/** Takes over the limits of a new configuration. */
	applyLimits(limits: CallerLimits): void {
		this.server.keepAliveTimeout = limits.idleTimeoutMs;
		this.server.headersTimeout = limits.headerTimeoutMs;
	}

	/** Closes the listener and the idle connections. */
	close(): void {
		this.server.close();
		this.server.closeIdleConnections();
	}

	/** Ends the calls that are still in progress. */
	cutAll(): void {
		for (const session of this.sessions) {
			session.cut();
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
			const checked = this.check(call, table);
			const body = await readBody(message, table?.configuration.limits.maximumBodyBytes ?? defaultBodyBytes);
			await this.forward(checked, body, response, arrivedAt);
		} catch (error) {
			this.refuse(response, convertToRouterError(error), call);
			discardBody(message);
		}
	}

	/** Finds the call's route and organisation; throws when it may not be served. */
	private check(call: InboundCall, table: RoutingTable | undefined): CheckedCall {
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

	private async forward({call, route, organisation}: CheckedCall, body: Buffer, response: ServerResponse, arrivedAt: MonotonicMs): Promise<void> {
		const {context} = this.options;
		const service = chooseService(route, context.draw());
		if (service === undefined) {
			throw createRouterError('noTarget', 'the route names no service');
		}

		const session = new CallSession({
			call, route, service, organisation, arrivedAt,
			body: body.length === 0 ? undefined : body,
			sink: createSink(response),
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
		this.watchSilence();
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
			response.destroy();
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

	private watchSilence(): void {
		if (this.isWatchingSilence) {
			return;
		}

		this.isWatchingSilence = true;
		setTimeout(() => {
			this.isWatchingSilence = false;
			const now = this.options.context.clock.readMonotonic();
			for (const session of this.sessions) {
				session.checkSilence(now);
			}

			if (this.sessions.size > 0) {
				this.watchSilence();
			}
		}, silenceCheckMs);
	}
}

function createSink(response: ServerResponse): CallerSink {
	return {
		begin(status, headers, isUnframed) {
			if (isUnframed) {
				// Chunks with an end marker would claim that the answer is complete.
				response.useChunkedEncodingByDefault = false;
				response.shouldKeepAlive = false;
			}

			response.writeHead(status, headers as string[]);
			response.flushHeaders();
		},
		write: chunk => response.write(chunk),
		end() {
			response.end();
		},
		destroy() {
			response.destroy();
		},
		onDrain(listener) {
			response.once('drain', listener);
		},
	};
}

/** Reads the rest of a body for a while, since closing a connection with unread bytes resets it and loses the answer. */
function discardBody(message: IncomingMessage): void {
	if (message.complete || message.destroyed) {
		return;
	}

	message.resume();
	const timer = setTimeout(() => {
		message.destroy();
	}, discardMs);
	message.once('close', () => {
		clearTimeout(timer);
	});
}
