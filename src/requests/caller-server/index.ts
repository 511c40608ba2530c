/** HTTP server for callers: completions, model lists, calls to services and queries for instance addresses. */

import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo, Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {abortResponse} from '../../http/abort-response/index.js';
import {sendError, sendJson} from '../../http/send-json/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import {stopListening} from '../../http/stop-listening/index.js';
import {convertToRouterError, createRouterError} from '../../results/create-router-error/index.js';
import type {Configuration, ResolvedModel} from '../../configuration/configuration/index.js';
import {
	answerClientError, endConnection, sendRawError, type OpenExchange,
} from '../answer-client-error/index.js';
import {authenticateCaller, extractSecret} from '../authenticate-caller/index.js';
import {serveCompletion} from '../serve-completion/index.js';
import {serveService} from '../serve-service/index.js';
import type {RouterContext} from '../router-context/index.js';

const maximumHeaderCount = 100;
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
	private readonly sockets = new Set<Socket>();
	private readonly exchanges = new WeakMap<Duplex, Set<OpenExchange>>();
	private readonly responses = new Set<ServerResponse>();
	private isClosing = false;

	constructor(private readonly context: RouterContext) {
		const {limits} = context.settings;
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
		return this.sockets.size;
	}

	/**
	 * Stops accepting connections and sends `Connection: close` on open ones, so that callers send no more
	 * requests on them. Resolves when the last request has been served.
	 */
	async close(): Promise<void> {
		const serverClosed = once(this.server, 'close');
		this.isClosing = true;
		for (const response of this.responses) {
			// Has no effect once the headers are sent; that connection is closed when it becomes idle.
			response.shouldKeepAlive = false;
		}

		await stopListening(this.server);
		const timer = setInterval(() => {
			this.server.closeIdleConnections();
		}, idleCheckIntervalMs);
		await serverClosed;
		clearInterval(timer);
	}

	/** Destroys all connections and aborts the requests on them. */
	closeAllConnections(): void {
		for (const response of this.responses) {
			abortResponse(response);
		}

		this.server.closeAllConnections();
	}

	private addListeners(): void {
		const {server, context} = this;
		server.on('connection', socket => {
			this.admitConnection(socket);
		});
		server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			context.metrics.connectionErrors.inc({code: error.code ?? 'unknown'});
			answerClientError(error, socket, this.exchanges.get(socket) ?? new Set());
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

	/** Refuses connections over the limit with an error response, so that callers can tell an overloaded instance from a dead one. */
	private admitConnection(socket: Socket): void {
		if (this.sockets.size >= this.context.settings.limits.connections) {
			this.context.metrics.connectionErrors.inc({code: 'surplus'});
			sendRawError(socket, createRouterError('overloaded', 'too many connections', {retryAfterSeconds: 1}));
			return;
		}

		this.sockets.add(socket);
		socket.once('close', () => {
			this.sockets.delete(socket);
		});
	}

	/** Tracks the open exchanges of each connection. There may be several, since callers may pipeline requests. */
	private trackExchange(exchange: OpenExchange): void {
		const {socket} = exchange.message;
		const openExchanges = this.exchanges.get(socket) ?? new Set();
		this.exchanges.set(socket, openExchanges.add(exchange));
		exchange.response.once('close', () => {
			openExchanges.delete(exchange);
		});
	}

	/** Tracks open responses, so that those that end during shutdown carry `Connection: close`. */
	private trackResponse(response: ServerResponse): void {
		this.responses.add(response);
		response.once('close', () => {
			this.responses.delete(response);
		});
		if (this.isClosing) {
			response.shouldKeepAlive = false;
		}
	}

	private async handleRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
		if (!this.sockets.has(message.socket) || message.socket.writableEnded) {
			// The connection was refused or is closing. The caller has been told so, and none of its requests may run.
			return;
		}

		const {metrics, clock} = this.context;
		const startedAt = clock.readMonotonic();
		this.inFlight += 1;
		this.trackExchange({message, response});
		this.trackResponse(response);
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
				this.serveModels(message, response);
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
					this.serveModel(decodePathSegment(url.pathname.slice(modelsPath.length + 1)), message, response);
					return;
				}

				return serveService(this.context, message, response);
			}
		}
	}

	private serveModels(message: IncomingMessage, response: ServerResponse): void {
		const configuration = this.context.readConfiguration();
		const key = authenticateCaller(configuration, extractSecret(message.headers));
		sendJson(response, 200, {object: 'list', data: configuration.listModels(key.fleet).map(model => formatModel(model))});
	}

	private serveModel(name: string, message: IncomingMessage, response: ServerResponse): void {
		const configuration: Configuration = this.context.readConfiguration();
		const key = authenticateCaller(configuration, extractSecret(message.headers));
		const model = configuration.findModel(name, key.fleet);
		if (model === undefined) {
			throw createRouterError('notFound', `model "${name}"`);
		}

		sendJson(response, 200, formatModel(model));
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

		// The remaining request body is not read, so the connection closes after the response.
		response.once('finish', () => {
			endConnection(message.socket);
		});
		sendError(response, routerError, {connection: 'close'});
	}
}

function formatModel(model: ResolvedModel): unknown {
	return {
		id: model.name, object: 'model', created: 0, owned_by: 'laburnumturn',
	};
}

function parseRequestUrl(message: IncomingMessage): URL {
	const url = message.url ?? '/';
	if (!url.startsWith('/') || url.startsWith('//') || !URL.canParse(url, 'http://localhost')) {
		throw createRouterError('malformedRequest', 'the path is not valid');
	}

	return new URL(url, 'http://localhost');
}

function decodePathSegment(text: string): string {
	try {
		return decodeURIComponent(text);
	} catch {
		throw createRouterError('malformedRequest', 'the path is not valid');
	}
}

function checkHeaderCount(message: IncomingMessage): void {
	if (message.rawHeaders.length / 2 > maximumHeaderCount) {
		throw createRouterError('headersTooLarge', `more than ${maximumHeaderCount} headers`);
	}
}

function checkMethod(message: IncomingMessage, method: string): void {
	if (message.method !== method) {
		throw createRouterError('methodNotAllowed', `use ${method}`);
	}
}
