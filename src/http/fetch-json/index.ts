/** Calls HTTP APIs that return JSON. */

import type {IncomingHttpHeaders} from 'node:http';
import {request, type Dispatcher} from 'undici';
import VError from 'verror';
import {maximumAnswerBytes, readText} from '../read-text/index.js';

/** Options of `fetchJson`. */
export type FetchJsonOptions = {
	readonly method?: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly body?: unknown;
	/** Timeout of the whole call. */
	readonly timeoutMs: number;
	readonly dispatcher?: Dispatcher;
	readonly headers?: Record<string, string>;
	/** Called with the response headers, whatever the status. */
	readonly onHeaders?: (headers: IncomingHttpHeaders) => void;
};

/** Calls `url` and returns the JSON body of the response; rejects on any status other than 2xx. */
export async function fetchJson<Result>(url: string, options: FetchJsonOptions): Promise<Result> {
	const response = await request(url, {
		method: options.method ?? 'GET',
		headers: options.body === undefined ? options.headers : {'content-type': 'application/json', ...options.headers},
		body: options.body === undefined ? undefined : JSON.stringify(options.body),
		signal: AbortSignal.timeout(options.timeoutMs),
		dispatcher: options.dispatcher,
	});
	options.onHeaders?.(response.headers);
	const text = await readText(response.body, maximumAnswerBytes);
	if (response.statusCode < 200 || response.statusCode >= 300) {
		throw new VError({name: 'HttpStatusError', info: {status: response.statusCode}}, 'status %d from %s: %s', response.statusCode, url, text.slice(0, 200));
	}

	return (text === '' ? undefined : JSON.parse(text)) as Result;
}
