/** A client: sends one request on a connection of its own and waits for its answer until its deadline. */

import {request as openRequest, type IncomingMessage} from 'node:http';
import {performance} from 'node:perf_hooks';
import type {CaseRecord} from '../case-record/index.js';
import {caseHost} from '../deployment/index.js';

/** A request. */
export type ClientRequest = {
	readonly id: string;
	/** `host:port` of a gateway. */
	readonly address: string;
	readonly method?: string;
	readonly path: string;
	readonly key: string;
	readonly deadlineMs: number;
	/** Further headers. */
	readonly headers?: Readonly<Record<string, string>>;
};

/** What the client saw. `status` is 0 without the head of an answer; `isComplete`: the answer ended as the protocol says. */
export type ClientAnswer = {
	readonly id: string;
	readonly status: number;
	readonly isComplete: boolean;
	readonly text: string;
	readonly hasSeal: boolean;
	readonly isLeaving: boolean;
	/** Time from the request to the end of the answer, or until the client gave up. */
	readonly endMs: number;
	/** Whether the client gave up at its deadline. */
	readonly isGivenUp: boolean;
};

/** Sends a request. Never rejects. */
export async function sendRequest(request: ClientRequest, record: CaseRecord): Promise<ClientAnswer> {
	const {id, address, path, key} = request;
	record.note('sent', {
		id, to: address, method: request.method ?? 'GET', path, key,
	});
	const answer = await exchange(request);
	const {status, isComplete, isGivenUp, endMs, text} = answer;
	record.note('answered', {
		id, status, complete: isComplete, ms: Math.round(endMs), bytes: text.length, givenUp: isGivenUp,
	});
	return answer;
}

async function exchange(request: ClientRequest): Promise<ClientAnswer> {
	const {id, address, path, key, deadlineMs} = request;
	const [host, port] = address.split(':');
	const sentAt = performance.now();
	return new Promise(resolve => {
		const chunks: Buffer[] = [];
		let isGivenUp = false;
		let response: IncomingMessage | undefined;
		const finish = (isComplete: boolean) => {
			clearTimeout(timer);
			resolve({
				id, isComplete, isGivenUp, status: response?.statusCode ?? 0, text: Buffer.concat(chunks).toString(),
				hasSeal: response?.headers['x-laburnumturn-server-seal'] !== undefined, isLeaving: response?.headers['server-leaving'] === '1',
				endMs: performance.now() - sentAt,
			});
		};

		const message = openRequest({
			host, port, path, method: request.method ?? 'GET', agent: false,
			headers: {
				host: caseHost, 'x-laburnumturn-request-id': id, 'x-laburnumturn-deadline-ms': deadlineMs, authorization: `Token ${key}`, ...request.headers,
			},
		}, incoming => {
			response = incoming;
			incoming.on('data', (chunk: Buffer) => {
				chunks.push(chunk);
			});
			incoming.on('error', () => {
				// The `close` event follows.
			});
			incoming.on('close', () => {
				finish(incoming.complete && !isGivenUp);
			});
		});
		const timer = setTimeout(() => {
			isGivenUp = true;
			message.destroy();
		}, deadlineMs);
		message.on('error', () => {
			finish(false);
		});
		message.end();
	});
}
