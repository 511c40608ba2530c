/** The listener for callers: models, services and address queries over HTTP. */

import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {sendError, sendJson} from '../../http/send-json/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import {convertToRouterError, createRouterError} from '../../results/create-router-error/index.js';
import {authenticateCaller, extractSecret} from '../authenticate-caller/index.js';
import {serveCompletion} from '../serve-completion/index.js';
import {serveService} from '../serve-service/index.js';
import type {RouterContext} from '../router-context/index.js';

/** HTTP server for callers. */
export class CallerServer {
	/** Requests now being served. */
	inFlight = 0;
	private readonly server: Server;

	constructor(private readonly context: RouterContext) {
		const {limits} = context.settings;
		this.server = createServer({
			maxHeaderSize: limits.headerBytes,
			requestTimeout: limits.receiveTimeoutMs,
			headersTimeout: limits.receiveTimeoutMs,
		}, (message, response) => {
			void this.handle(message, response);
		});
		this.server.maxConnections = limits.connections;
		// A caller that closes its sending side early still gets its answer or an error; see `openCallSignal`.
		Object.assign(this.server, {httpAllowHalfOpen: true});
	}

	/** Starts listening; returns `host:port`. */
	async listen(): Promise<string> {
		const {host, port} = parseAddress(this.context.settings.listen.caller);
		this.server.listen(port, host);
		await once(this.server, 'listening');
		return `${host}:${(this.server.address() as AddressInfo).port}`;
	}

	/** Stops accepting and resolves when the last connection has closed. */
	async close(): Promise<void> {
		const closed = once(this.server, 'close');
		this.server.close();
		this.server.closeIdleConnections();
		await closed;
	}

	private async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
		this.inFlight += 1;
		try {
			await this.dispatch(message, response);
		} catch (error) {
			this.answerError(response, error);
		} finally {
			this.inFlight -= 1;
		}
	}

	private async dispatch(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = new URL(message.url ?? '/', 'http://localhost');
		switch (url.pathname) {
			case '/v1/completions':
			case '/v1/chat/completions': {
				checkMethod(message, 'POST');
				return serveCompletion(this.context, url.pathname, message, response);
			}

			case '/v1/models': {
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
				return serveService(this.context, message, response);
			}
		}
	}

	private serveModels(message: IncomingMessage, response: ServerResponse): void {
		const configuration = this.context.readConfiguration();
		const key = authenticateCaller(configuration, extractSecret(message.headers));
		const data = configuration.listModels(key.fleet).map(model => ({id: model.name, object: 'model', owned_by: 'laburnumturn'}));
		sendJson(response, 200, {object: 'list', data});
	}

	private answerError(response: ServerResponse, error: unknown): void {
		const routerError = convertToRouterError(error);
		if (routerError.entry.name === 'internalError') {
			this.context.logger.error('request failed', {reason: String((error as Error).stack ?? error)});
		}

		if (response.headersSent) {
			response.destroy();
			return;
		}

		sendError(response, routerError);
	}
}

function checkMethod(message: IncomingMessage, method: string): void {
	if (message.method !== method) {
		throw createRouterError('methodNotAllowed', `use ${method}`);
	}
}
