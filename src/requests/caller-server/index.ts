/** The listener for callers: models, services and address queries over HTTP. */

import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo, Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {sendError, sendJson} from '../../http/send-json/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import {convertToRouterError, createRouterError} from '../../results/create-router-error/index.js';
import type {Configuration, ResolvedModel} from '../../configuration/configuration/index.js';
import {
	answerClientError, endConnection, sendRawError, type OpenExchange,
} from '../answer-client-error/index.js';
import {authenticateCaller, extractSecret} from '../authenticate-caller/index.js';
import {serveCompletion} from '../serve-completion/index.js';
import {serveService} from '../serve-service/index.js';
import type {RouterContext} from '../router-context/index.js';

const highestHeaderCount = 100;
/** Connections over the limit that may wait for their refusal; more are closed without an answer. */
const refusedConnections = 64;
/** Interval in which Node looks for requests that are received too slowly, in milliseconds. */
const slowCheckMs = 100;
const msPerSecond = 1000;
const modelsPath = '/v1/models';
const idleCheckMs = 100;

/** HTTP server for callers. */
export class CallerServer {
	/** Requests now being served. */
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
			connectionsCheckingInterval: slowCheckMs,
		};
		this.server = createServer(options, (message, response) => {
			void this.handle(message, response);
		});
		this.server.maxConnections = limits.connections + refusedConnections;
		// Node drops headers beyond its count silently; they are counted here instead.
		this.server.maxHeadersCount = 0;
		// A caller that closes its sending side early still gets its answer or an error; see `openCallSignal`.
		Object.assign(this.server, {httpAllowHalfOpen: true});
		this.addListeners();
	}

	/** Starts listening; returns `host:port`. */
	async listen(): Promise<string> {
		const {host, port} = parseAddress(this.context.settings.listen.caller);
		this.server.listen(port, host);
		await once(this.server, 'listening');
		return `${host}:${(this.server.address() as AddressInfo).port}`;
	}

	/** Number of open connections of callers. */
	countConnections(): number {
		return this.sockets.size;
	}

	/**
	 * Stops accepting connections, asks callers with `Connection: close` to open no more requests on
	 * theirs, and resolves when the last request has been served.
	 */
	async close(): Promise<void> {
		const closed = once(this.server, 'close');
		this.isClosing = true;
		for (const response of this.responses) {
			// Has no effect on an answer whose headers were sent; its connection is closed when idle.
			response.shouldKeepAlive = false;
		}

		this.server.close();
		const timer = setInterval(() => {
			this.server.closeIdleConnections();
		}, idleCheckMs);
		await closed;
		clearInterval(timer);
	}

	/** Destroys all connections, with the requests on them. */
	closeAll(): void {
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

			void this.handle(message, response);
		});
		server.on('checkExpectation', (message, response) => {
			this.answerError(message, response, createRouterError('malformedRequest', `expectation "${message.headers.expect ?? ''}" cannot be met`));
		});
		server.on('connect', (_message, socket) => {
			sendRawError(socket, createRouterError('methodNotAllowed', 'tunnels are not offered'));
		});
	}

	/** Refuses connections over the limit with an answer, so that the caller can tell a full instance from a dead one. */
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

	/** Requests on one connection may overlap, since callers may send the next one early. */
	private noteExchange(exchange: OpenExchange): void {
		const {socket} = exchange.message;
		const open = this.exchanges.get(socket) ?? new Set();
		this.exchanges.set(socket, open.add(exchange));
		exchange.response.once('close', () => {
			open.delete(exchange);
		});
	}

	/** Answers that end after the stop began ask their caller to open no more requests on the connection. */
	private noteResponse(response: ServerResponse): void {
		this.responses.add(response);
		response.once('close', () => {
			this.responses.delete(response);
		});
		if (this.isClosing) {
			response.shouldKeepAlive = false;
		}
	}

	private async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
		if (!this.sockets.has(message.socket) || message.socket.writableEnded) {
			// The connection was refused or is being closed: its caller was told so, and nothing more may run.
			return;
		}

		const {metrics, clock} = this.context;
		const startedAt = clock.readMonotonic();
		this.inFlight += 1;
		this.noteExchange({message, response});
		this.noteResponse(response);
		// A caller that goes away while its answer is written is noticed by `openCallSignal`.
		response.on('error', () => undefined);
		let result = 'ok';
		try {
			checkHeaders(message);
			await this.dispatch(message, response);
		} catch (error) {
			result = convertToRouterError(error).entry.name;
			this.answerError(message, response, error);
		} finally {
			this.inFlight -= 1;
			const kind = message.url?.startsWith('/v1/') ? 'model' : 'service';
			metrics.requests.inc({kind, result});
			metrics.durations.observe({kind}, (clock.readMonotonic() - startedAt) / msPerSecond);
		}
	}

	private async dispatch(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = parseUrl(message);
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
					this.serveModel(decodePath(url.pathname.slice(modelsPath.length + 1)), message, response);
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

	private answerError(message: IncomingMessage, response: ServerResponse, error: unknown): void {
		const routerError = convertToRouterError(error);
		if (routerError.entry.name === 'internalError') {
			this.context.logger.error('request failed', {reason: String((error as Error).stack ?? error)});
		}

		if (response.headersSent) {
			response.destroy();
			return;
		}

		if (message.complete) {
			sendError(response, routerError);
			return;
		}

		// The rest of the request is not read: answer, then close.
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

function parseUrl(message: IncomingMessage): URL {
	const url = message.url ?? '/';
	if (!url.startsWith('/') || url.startsWith('//') || !URL.canParse(url, 'http://localhost')) {
		throw createRouterError('malformedRequest', 'the path is not valid');
	}

	return new URL(url, 'http://localhost');
}

function decodePath(text: string): string {
	try {
		return decodeURIComponent(text);
	} catch {
		throw createRouterError('malformedRequest', 'the path is not valid');
	}
}

function checkHeaders(message: IncomingMessage): void {
	if (message.rawHeaders.length / 2 > highestHeaderCount) {
		throw createRouterError('headersTooLarge', `more than ${highestHeaderCount} headers`);
	}
}

function checkMethod(message: IncomingMessage, method: string): void {
	if (message.method !== method) {
		throw createRouterError('methodNotAllowed', `use ${method}`);
	}
}
