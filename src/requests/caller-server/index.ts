/** HTTP server for callers: completions, model lists, calls to services and queries for instance addresses. */

import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {abortResponse} from '../../http/abort-response/index.js';
import {discardRemainingBody} from '../../http/discard-remaining-body/index.js';
import {sendError, sendJson} from '../../http/send-json/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import {stopListening} from '../../http/stop-listening/index.js';
import {convertToRouterError, createRouterError} from '../../results/create-router-error/index.js';
import {answerClientError, endConnection, sendRawError} from '../answer-client-error/index.js';
import {CallerConnections} from '../caller-connections/index.js';
import {
	checkHeaderCount, checkMethod, decodePathSegment, parseRequestUrl,
} from '../check-request/index.js';
import {serveCompletion} from '../serve-completion/index.js';
import {serveModel, serveModels} from '../serve-models/index.js';
import {serveService} from '../serve-service/index.js';
import type {RouterContext} from '../router-context/index.js';

/** Connections over the limit that are still accepted so that they get an error response. Any beyond are closed without one. */
const maximumSurplusConnections = 64;
/** Interval at which Node checks for requests that exceed the receive timeout. */
const timeoutCheckIntervalMs = 100;
const msPerSecond = 1000;
const modelsPath = '/v1/models';
/** Interval at which idle connections are closed during shutdown. */
const idleCheckIntervalMs = 100;

/** HTTP server for callers. */
export class CallerServer {
	/** Number of requests being served. */
	inFlight = 0;
	private readonly server: Server;
	private readonly connections: CallerConnections;

	constructor(private readonly context: RouterContext) {
		const {limits} = context.settings;
		this.connections = new CallerConnections(limits.connections);
		const options = {
			maxHeaderSize: limits.headerBytes,
			requestTimeout: limits.receiveTimeoutMs,
			headersTimeout: limits.receiveTimeoutMs,
			connectionsCheckingInterval: timeoutCheckIntervalMs,
		};
		this.server = createServer(options, (message, response) => {
			void this.handleRequest(message, response);
		});
		this.server.maxConnections = limits.connections + maximumSurplusConnections;
		// Node silently drops headers beyond this count, so its limit is disabled and `checkHeaderCount` enforces one.
		this.server.maxHeadersCount = 0;
		// A caller that half-closes the connection still gets its response or an error; see `CallerWatch`.
		Object.assign(this.server, {httpAllowHalfOpen: true});
		this.addListeners();
	}

	/** Starts listening and returns the bound `host:port`. */
	async listen(): Promise<string> {
		const {host, port} = parseAddress(this.context.settings.listen.caller);
		this.server.listen(port, host);
		await once(this.server, 'listening');
		return `${host}:${(this.server.address() as AddressInfo).port}`;
	}

	/** Returns the number of open connections from callers. */
	countConnections(): number {
		return this.connections.count;
	}

	/**
	 * Stops accepting connections and sends `Connection: close` on open ones, so that callers send no more
	 * requests on them. Resolves when the last request has been served.
	 */
	async close(): Promise<void> {
		const serverClosed = once(this.server, 'close');
		this.connections.leave();
		await stopListening(this.server);
		const timer = setInterval(() => {
			this.server.closeIdleConnections();
		}, idleCheckIntervalMs);
		await serverClosed;
		clearInterval(timer);
	}

	/** Destroys all connections and aborts the requests on them. */
	closeAllConnections(): void {
		this.connections.abortResponses();
		this.server.closeAllConnections();
	}

	private addListeners(): void {
		const {server, context, connections} = this;
		server.on('connection', socket => {
			if (!connections.admit(socket)) {
				context.metrics.connectionErrors.inc({code: 'surplus'});
			}
		});
		server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			context.metrics.connectionErrors.inc({code: error.code ?? 'unknown'});
			answerClientError(error, socket, connections.listExchanges(socket));
		});
		server.on('checkContinue', (message, response) => {
			if (Number(message.headers['content-length'] ?? 0) <= context.settings.limits.bodyBytes) {
				response.writeContinue();
			}

			void this.handleRequest(message, response);
		});
		server.on('checkExpectation', (message, response) => {
			this.sendErrorResponse(message, response, createRouterError('malformedRequest', `unsupported expectation "${message.headers.expect ?? ''}"`));
		});
		server.on('connect', (_message, socket) => {
			sendRawError(socket, createRouterError('methodNotAllowed', 'CONNECT is not supported'));
		});
	}

	private async handleRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
		if (!this.connections.canServe(message.socket)) {
			return;
		}

		const {metrics, clock} = this.context;
		const startedAt = clock.readMonotonic();
		this.inFlight += 1;
		this.connections.trackExchange(message, response);
		// A failed write shows that the caller has left; see `CallerWatch`.
		response.on('error', () => undefined);
		let result = 'ok';
		try {
			checkHeaderCount(message);
			await this.dispatch(message, response);
		} catch (error) {
			result = convertToRouterError(error).entry.name;
			this.sendErrorResponse(message, response, error);
		} finally {
			this.inFlight -= 1;
			const kind = message.url?.startsWith('/v1/') ? 'model' : 'service';
			metrics.requests.inc({kind, result});
			metrics.durations.observe({kind}, (clock.readMonotonic() - startedAt) / msPerSecond);
		}
	}

	private async dispatch(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = parseRequestUrl(message);
		switch (url.pathname) {
			case '/v1/completions':
			case '/v1/chat/completions': {
				checkMethod(message, 'POST');
				return serveCompletion(this.context, url.pathname, message, response);
			}

			case modelsPath: {
				checkMethod(message, 'GET');
				serveModels(this.context, message, response);
				return;
			}

			case '/v1/instances': {
				checkMethod(message, 'GET');
				sendJson(response, 200, this.context.chooseAddresses(url.searchParams.get('data_centre') ?? undefined));
				return;
			}

			default: {
				if (url.pathname.startsWith(`${modelsPath}/`)) {
					checkMethod(message, 'GET');
					serveModel(this.context, decodePathSegment(url.pathname.slice(modelsPath.length + 1)), message, response);
					return;
				}

				return serveService(this.context, message, response);
			}
		}
	}

	private sendErrorResponse(message: IncomingMessage, response: ServerResponse, error: unknown): void {
		const routerError = convertToRouterError(error);
		if (routerError.entry.name === 'internalError') {
			this.context.logger.error('request failed', {reason: String((error as Error).stack ?? error)});
		}

		if (response.headersSent) {
			abortResponse(response);
			return;
		}

		if (message.complete) {
			sendError(response, routerError);
			return;
		}

		// The remaining request body is dropped, and the connection closes after the response.
		discardRemainingBody(message, this.context.settings.limits.bodyBytes);
		response.once('finish', () => {
			endConnection(message.socket);
		});
		sendError(response, routerError, {connection: 'close'});
	}
}
