/** Client of a model engine over HTTP with server-sent events. */

import type {IncomingHttpHeaders} from 'node:http';
import type {Stream} from 'most';
import {Pool, type Dispatcher} from 'undici';
import VError from 'verror';
import {createTaskStream} from '../../streams/create-task-stream/index.js';
import {LineSplitter} from '../../streams/line-splitter/index.js';
import {createRouterError, RouterError} from '../../results/create-router-error/index.js';
import {classifyCallError} from '../../http/classify-call-error/index.js';
import {discardBody} from '../../http/discard-body/index.js';
import {fetchJson} from '../../http/fetch-json/index.js';
import type {Incarnation, RequestId} from '../../identity/ids/index.js';
import {matchAnswerId} from '../../forwarding/match-answer-id/index.js';
import {leavingHeader} from '../leaving-targets/index.js';
import {parseEventStream} from '../parse-event-stream/index.js';
import type {
	BlockSnapshot, CacheEvent, EngineResponse, EngineChunk, EngineClient, EngineOrder, EngineRequest, EngineState,
} from '../engine-client/index.js';

/** Options of the client. */
export type HttpEngineClientOptions = {
	readonly address: string;
	readonly connectTimeoutMs?: number;
	/** Idle time after which a stream counts as broken. */
	readonly silenceMs?: number;
};

const defaultConnectTimeoutMs = 1000;
const defaultSilenceMs = 10_000;
const controlTimeoutMs = 1000;
const snapshotTimeoutMs = 5000;
const controlSilenceMs = 3500;
const maximumCompletionConnections = 512;
/** Time for a response body to end after its end marker before its connection is closed. */
const responseEndTimeoutMs = 1000;

/** Values that the response headers must contain. */
type ExpectedHeaders = {readonly requestId: RequestId; readonly incarnation?: Incarnation; readonly weightsVersion?: string};

/** Client of one engine over HTTP. */
export class HttpEngineClient implements EngineClient {
	onLeaving?: () => void;
	private readonly origin: string;
	private readonly completionPool: Pool;
	private readonly controlPool: Pool;

	constructor(options: HttpEngineClientOptions) {
		this.origin = `http://${options.address}`;
		const silenceMs = options.silenceMs ?? defaultSilenceMs;
		const connect = {timeout: options.connectTimeoutMs ?? defaultConnectTimeoutMs};
		this.completionPool = new Pool(this.origin, {
			connections: maximumCompletionConnections, pipelining: 1, connect, headersTimeout: silenceMs, bodyTimeout: silenceMs,
		});
		this.controlPool = new Pool(this.origin, {
			connections: 4, pipelining: 1, connect, headersTimeout: controlSilenceMs, bodyTimeout: controlSilenceMs,
		});
	}

	async complete(request: EngineRequest, signal: AbortSignal): Promise<EngineResponse> {
		const headers: Record<string, string> = {'content-type': 'application/json', 'x-request-id': request.requestId};
		if (request.expectedIncarnation !== undefined) {
			headers['x-expected-incarnation'] = request.expectedIncarnation;
		}

		if (request.expectedWeightsVersion !== undefined) {
			headers['x-expected-weights-version'] = request.expectedWeightsVersion;
		}

		const body = JSON.stringify({...request.body, stream: true});
		const expected = {requestId: request.requestId, incarnation: request.expectedIncarnation, weightsVersion: request.expectedWeightsVersion};
		const response = await this.request({
			method: 'POST', path: request.path, headers, body, signal,
		});
		return convertResponse(response, expected);
	}

	async resume(requestId: RequestId, offset: number, incarnation: Incarnation, signal: AbortSignal): Promise<EngineResponse | undefined> {
		const path = `/v1/streams/${encodeURIComponent(requestId)}?offset=${offset}`;
		const response = await this.request({
			method: 'GET', path, headers: {'x-request-id': requestId, 'x-expected-incarnation': incarnation}, signal,
		});
		if (response.statusCode === 404 && !isForOtherRequest(response, requestId)) {
			discardBody(response.body);
			return undefined;
		}

		return convertResponse(response, {requestId, incarnation});
	}

	async cancel(requestId: RequestId): Promise<void> {
		try {
			await fetchJson(`${this.origin}/v1/streams/${encodeURIComponent(requestId)}`, {
				method: 'DELETE', timeoutMs: controlTimeoutMs, dispatcher: this.controlPool,
			});
		} catch (error) {
			if (VError.info(error as Error).status === undefined) {
				throw error;
			}
		}
	}

	async readState(): Promise<EngineState> {
		return fetchJson(`${this.origin}/state`, {
			timeoutMs: controlTimeoutMs, dispatcher: this.controlPool,
			onHeaders: headers => {
				this.reportLeaving(headers);
			},
		});
	}

	async readBlocks(): Promise<BlockSnapshot> {
		return fetchJson(`${this.origin}/cache/blocks`, {timeoutMs: snapshotTimeoutMs, dispatcher: this.controlPool});
	}

	watchCacheEvents(after: number): Stream<CacheEvent> {
		return createTaskStream(async (emit, signal) => this.readEvents(after, signal, emit));
	}

	async sendOrder(order: EngineOrder, timeoutMs: number): Promise<'accepted' | 'staleFencing' | 'refused'> {
		const response = await this.controlPool.request({
			method: 'POST', path: '/orders', headers: {'content-type': 'application/json'},
			body: JSON.stringify(order), signal: AbortSignal.timeout(timeoutMs),
		});
		await response.body.dump();
		if (response.statusCode === 409) {
			return 'staleFencing';
		}

		return response.statusCode < 300 ? 'accepted' : 'refused';
	}

	async drain(): Promise<void> {
		await Promise.all([this.completionPool.close(), this.controlPool.close()]);
	}

	async close(): Promise<void> {
		await Promise.all([this.completionPool.destroy(), this.controlPool.destroy()]);
	}

	/** Sends a request on the connections for completions. Resolves with the response's headers. */
	private async request(options: Dispatcher.RequestOptions): Promise<Dispatcher.ResponseData> {
		try {
			const response = await this.completionPool.request(options);
			this.reportLeaving(response.headers);
			return response;
		} catch (error) {
			throw convertRequestError(error);
		}
	}

	private reportLeaving(headers: IncomingHttpHeaders): void {
		if (headers[leavingHeader] === 'true') {
			this.onLeaving?.();
		}
	}

	private async readEvents(after: number, signal: AbortSignal, emit: (event: CacheEvent) => void): Promise<never> {
		const response = await this.controlPool.request({method: 'GET', path: `/cache/events?after=${after}`, signal});
		if (response.statusCode !== 200) {
			throw await convertErrorResponse(response);
		}

		const splitter = new LineSplitter();
		for await (const chunk of response.body) {
			for (const line of splitter.add(chunk as Buffer)) {
				emit(JSON.parse(line) as CacheEvent);
			}
		}

		throw createRouterError('targetUnreachable', 'the cache event stream ended');
	}
}

/** Returns the response of a completion; rejects if it reports an error or is not the one expected. */
async function convertResponse(response: Dispatcher.ResponseData, expected: ExpectedHeaders): Promise<EngineResponse> {
	if (response.statusCode !== 200) {
		throw await convertErrorResponse(response, expected.requestId);
	}

	const {headers} = response;
	if (!matchesExpectedHeaders(headers, expected)) {
		discardBody(response.body);
		throw createRouterError('answerMismatch', `response headers do not match request ${expected.requestId}`);
	}

	return {
		requestId: expected.requestId,
		incarnation: String(headers['x-engine-incarnation']) as Incarnation,
		weightsVersion: String(headers['x-weights-version']),
		cachedTokens: Number(headers['x-cached-tokens'] ?? 0),
		chunks: readChunks(response.body),
	};
}

/** Whether the headers match. They do not if the engine ignored the expected values and ran the request with other weights or another cache. */
function matchesExpectedHeaders(headers: IncomingHttpHeaders, expected: ExpectedHeaders): boolean {
	return headers['x-request-id'] === expected.requestId
		&& (expected.incarnation ?? headers['x-engine-incarnation']) === headers['x-engine-incarnation']
		&& (expected.weightsVersion ?? headers['x-weights-version']) === headers['x-weights-version'];
}

async function * readChunks(body: Dispatcher.ResponseData['body']): AsyncGenerator<EngineChunk> {
	let hasEnded = false;
	try {
		for await (const event of parseEventStream(body.iterator({destroyOnReturn: false}))) {
			hasEnded = event.data === '[DONE]';
			yield {offset: Number(event.id), data: event.data, isEnd: hasEnded};
			if (hasEnded) {
				return;
			}
		}
	} catch (error) {
		throw convertStreamError(error);
	} finally {
		releaseBody(body, hasEnded);
	}

	throw createRouterError('streamBroken');
}

/** Reads the remaining bytes after the end marker, so that the connection can be reused. Without an end marker the connection is closed. */
function releaseBody(body: Dispatcher.ResponseData['body'], hasEnded: boolean): void {
	body.on('error', () => {
		// The reader of the body has already received the error, or has stopped reading.
	});
	if (!hasEnded) {
		discardBody(body);
		return;
	}

	const timer = setTimeout(() => {
		body.destroy();
	}, responseEndTimeoutMs);
	body.once('close', () => {
		clearTimeout(timer);
	});
	body.resume();
}

/** Whether the response says that it answers another request than `requestId`. */
function isForOtherRequest({headers}: Dispatcher.ResponseData, requestId: RequestId): boolean {
	return matchAnswerId([headers['x-request-id'] ?? []].flat(), requestId) === 'other';
}

/** Length of the error text after which reading stops. */
const maximumErrorTextLength = 4096;

/**
 * Only status 412 and the header `x-not-run` guarantee that the request did not run, and only in an answer that names no other
 * request than `requestId`.
 */
async function convertErrorResponse(response: Dispatcher.ResponseData, requestId?: RequestId): Promise<RouterError> {
	const detail = `status ${response.statusCode}: ${await readErrorText(response.body)}`;
	if (requestId !== undefined && isForOtherRequest(response, requestId)) {
		return createRouterError('answerMismatch', `an error response names another request than ${requestId}`);
	}

	if (response.statusCode === 412 || response.headers['x-not-run'] === 'true') {
		return createRouterError('targetRefused', detail);
	}

	return createRouterError(response.statusCode === 400 ? 'malformedRequest' : 'outcomeUnknown', detail, {mayHaveRun: true});
}

async function readErrorText(body: AsyncIterable<Uint8Array>): Promise<string> {
	let text = '';
	try {
		for await (const chunk of body) {
			text += Buffer.from(chunk).toString('utf8');
			if (text.length >= maximumErrorTextLength) {
				break;
			}
		}
	} catch {
		// The error depends on the status alone. The text is only diagnostic.
	}

	return text.slice(0, 200);
}

/** Converts an error before the response headers. The request counts as not run only if no byte can have been sent. */
function convertRequestError(error: unknown): RouterError {
	const {message} = error as Error;
	const nameByKind = {neverConnected: 'targetUnreachable', silent: 'targetTimeout', unknown: 'outcomeUnknown'} as const;
	return createRouterError(nameByKind[classifyCallError(error)], message, {cause: error as Error});
}

function convertStreamError(error: unknown): RouterError {
	if (error instanceof RouterError) {
		return error;
	}

	const name = classifyCallError(error) === 'silent' ? 'targetTimeout' : 'streamBroken';
	return createRouterError(name, (error as Error).message, {cause: error as Error});
}
