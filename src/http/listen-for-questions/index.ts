/** Small listeners that answer one kind of question with a status and JSON. */

import {createServer, type Server} from 'node:http';
import {once} from 'node:events';
import {parseAddress} from '../parse-address/index.js';
import {sendJson} from '../send-json/index.js';

/** Answer to a question. */
export type Answer = {readonly status: number; readonly body: unknown};

/** Idle time of a connection, in milliseconds. */
const keepAliveMs = 10_000;

/** Starts a listener that answers GET requests by their URL. */
export async function listenForQuestions(address: string, answer: (url: URL) => Answer | Promise<Answer>): Promise<Server> {
	const {host, port} = parseAddress(address);
	const server = createServer((message, response) => {
		void (async () => {
			try {
				const {status, body} = await answer(new URL(message.url ?? '/', 'http://localhost'));
				sendJson(response, status, body);
			} catch (error) {
				sendJson(response, 500, {message: (error as Error).message});
			}
		})();
	});
	server.keepAliveTimeout = keepAliveMs;
	server.listen(port, host, 1024);
	await once(server, 'listening');
	return server;
}
