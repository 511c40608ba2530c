/** Small JSON calls over HTTP. */

import type {IncomingHttpHeaders} from 'node:http';
import {request, type Dispatcher} from 'undici';
import VError from 'verror';

/** Options of `fetchJson`. */
export type FetchJsonOptions = {
	readonly method?: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly body?: unknown;
	/** Time limit of the whole call, in milliseconds. */
	readonly timeoutMs: number;
	readonly dispatcher?: Dispatcher;
	readonly headers?: Record<string, string>;
	/** Called with the headers of the answer, whatever its status. */
	readonly onHeaders?: (headers: IncomingHttpHeaders) => void;
};

/** Calls `url` and returns its JSON answer; rejects on any status but 2xx. */
export async function fetchJson<Answer>(url: string, options: FetchJsonOptions): Promise<Answer> {
	const answer = await request(url, {
		method: options.method ?? 'GET',
		headers: options.body === undefined ? options.headers : {'content-type': 'application/json', ...options.headers},
		body: options.body === undefined ? undefined : JSON.stringify(options.body),
		signal: AbortSignal.timeout(options.timeoutMs),
		dispatcher: options.dispatcher,
	});
	options.onHeaders?.(answer.headers);
	const text = await answer.body.text();
	if (answer.statusCode < 200 || answer.statusCode >= 300) {
		throw new VError({name: 'HttpStatusError', info: {status: answer.statusCode}}, 'status %d from %s: %s', answer.statusCode, url, text.slice(0, 200));
	}

	return (text === '' ? undefined : JSON.parse(text)) as Answer;
}
