/** HTTP servers for simple queries, which they answer with a status and JSON. */

import {createServer, type Server} from 'node:http';
import {once} from 'node:events';
import {discardRemainingBody} from '../discard-remaining-body/index.js';
import {briefRequests, limitConnections, maximumDiscardedBytes} from '../limit-connections/index.js';
import {parseAddress} from '../parse-address/index.js';
import {sendJson} from '../send-json/index.js';

/** Status and JSON body of a response. */
export type JsonResponse = {readonly status: number; readonly body: unknown};

const keepAliveTimeoutMs = 10_000;
const maximumConnections = 512;

/** Starts a server that answers each request by its URL, and with status 500 when `handleRequest` fails. */
export async function startJsonServer(address: string, handleRequest: (url: URL) => JsonResponse | Promise<JsonResponse>): Promise<Server> {
	const {host, port} = parseAddress(address);
	const server = createServer(briefRequests, (message, response) => {
		void (async () => {
			try {
				const {status, body} = await handleRequest(new URL(message.url ?? '/', 'http://localhost'));
				sendJson(response, status, body);
			} catch (error) {
				sendJson(response, 500, {message: (error as Error).message});
			}

			discardRemainingBody(message, maximumDiscardedBytes);
		})();
	});
	limitConnections(server, maximumConnections);
	server.keepAliveTimeout = keepAliveTimeoutMs;
	server.listen(port, host, 1024);
	await once(server, 'listening');
	return server;
}
