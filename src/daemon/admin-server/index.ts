/** HTTP listener for operators: metrics, state dump, liveness and readiness. */

import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {Registry, register as defaultRegistry} from 'prom-client';
import {discardRemainingBody} from '../../http/discard-remaining-body/index.js';
import {briefRequests, limitConnections, maximumDiscardedBytes} from '../../http/limit-connections/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import {sendJson} from '../../http/send-json/index.js';

const maximumConnections = 64;

/** Sources of what the listener serves. */
export type AdminSources = {
	readonly metrics: {readonly registry: Registry};
	/** State of each component, by its name. */
	readonly dump: () => unknown;
	/** Returns why the instance is not ready for new callers; undefined when it is ready. */
	readonly readObstacle: () => string | undefined;
};

/** HTTP server for operators. */
export class AdminServer {
	private readonly server: Server;

	constructor(private readonly sources: AdminSources) {
		this.server = createServer(briefRequests, (message, response) => {
			void this.serve(message, response).catch((error: unknown) => {
				sendJson(response, 500, {message: (error as Error).message});
			}).finally(() => {
				discardRemainingBody(message, maximumDiscardedBytes);
			});
		});
		limitConnections(this.server, maximumConnections);
	}

	/** Starts listening; returns `host:port`. */
	async listen(address: string): Promise<string> {
		const {host, port} = parseAddress(address);
		this.server.listen(port, host);
		await once(this.server, 'listening');
		return `${host}:${(this.server.address() as AddressInfo).port}`;
	}

	async close(): Promise<void> {
		const closed = once(this.server, 'close');
		this.server.close();
		this.server.closeAllConnections();
		await closed;
	}

	private async serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
		switch (message.url ?? '/') {
			case '/metrics': {
				const {registry} = this.sources.metrics;
				response.writeHead(200, {'content-type': registry.contentType});
				// Placement and the fair queue register their metrics in prom-client's default registry.
				response.end(await Registry.merge([registry, defaultRegistry]).metrics());
				return;
			}

			case '/dump': {
				sendJson(response, 200, this.sources.dump());
				return;
			}

			case '/livez': {
				sendJson(response, 200, {isLive: true});
				return;
			}

			case '/readyz': {
				const obstacle = this.sources.readObstacle();
				sendJson(response, obstacle === undefined ? 200 : 503, {isReady: obstacle === undefined, obstacle});
				return;
			}

			default: {
				sendJson(response, 404, {message: 'paths are /metrics, /dump, /livez and /readyz'});
			}
		}
	}
}
