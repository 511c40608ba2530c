/** Client of a model engine over HTTP with server-sent events. */

import type {IncomingHttpHeaders} from 'node:http';
import type {Stream} from 'most';
import {Pool, type Dispatcher} from 'undici';
import {createTaskStream} from '../../streams/create-task-stream/index.js';
import {createRouterError, RouterError} from '../../results/create-router-error/index.js';
import {classifyCallError} from '../../http/classify-call-error/index.js';
import {discardBody} from '../../http/discard-body/index.js';
import {fetchJson} from '../../http/fetch-json/index.js';
import type {Incarnation, RequestId} from '../../identity/ids/index.js';
import {leavingHeader} from '../leaving-targets/index.js';
import {parseEventStream} from '../parse-event-stream/index.js';
import type {
	BlockSnapshot, CacheEvent, EngineAnswer, EngineChunk, EngineClient, EngineOrder, EngineRequest, EngineState,
} from '../engine-client/index.js';

/** Limits of the client, in milliseconds. */
export type HttpEngineClientOptions = {
	readonly address: string;
	readonly connectTimeoutMs?: number;
	/** Silence after which a stream counts as broken. */
	readonly silenceMs?: number;
};

const defaultConnectTimeoutMs = 1000;
const defaultSilenceMs = 10_000;
const stateTimeoutMs = 1000;
const snapshotTimeoutMs = 5000;
const eventSilenceMs = 3500;
const maximumConnections = 512;
/** Time for an answer to end after its end marker before its connection is closed, in milliseconds. */
const leftoverMs = 1000;

/** What the headers of an answer must name. */
type ExpectedAnswer = {readonly requestId: RequestId; readonly incarnation?: Incarnation; readonly weightsVersion?: string};

/** Engine over HTTP. */
export class HttpEngineClient implements EngineClient {
	onLeaving?: () => void;
	private readonly origin: string;
	private readonly pool: Pool;
	private readonly eventPool: Pool;

	constructor(options: HttpEngineClientOptions) {
		this.origin = `http://${options.address}`;
		const silenceMs = options.silenceMs ?? defaultSilenceMs;
		const connect = {timeout: options.connectTimeoutMs ?? defaultConnectTimeoutMs};
		this.pool = new Pool(this.origin, {
			connections: maximumConnections, pipelining: 1, connect, headersTimeout: silenceMs, bodyTimeout: silenceMs,
		});
		this.eventPool = new Pool(this.origin, {
			connections: 4, pipelining: 1, connect, headersTimeout: eventSilenceMs, bodyTimeout: eventSilenceMs,
		});
	}

	async complete(request: EngineRequest, signal: AbortSignal): Promise<EngineAnswer> {
		const headers: Record<string, string> = {'content-type': 'application/json', 'x-request-id': request.requestId};
		if (request.expectedIncarnation !== undefined) {
			headers['x-expected-incarnation'] = request.expectedIncarnation;
		}

		if (request.expectedWeightsVersion !== undefined) {
			headers['x-expected-weights-version'] = request.expectedWeightsVersion;
		}

		const body = JSON.stringify({...request.body, stream: true});
		return this.open({
			method: 'POST', path: request.path, headers, body, signal,
		}, {requestId: request.requestId, incarnation: request.expectedIncarnation, weightsVersion: request.expectedWeightsVersion});
	}

	async resume(requestId: RequestId, offset: number, incarnation: Incarnation, signal: AbortSignal): Promise<EngineAnswer> {
		const path = `/v1/streams/${encodeURIComponent(requestId)}?offset=${offset}`;
		return this.open({
			method: 'GET', path, headers: {'x-request-id': requestId, 'x-expected-incarnation': incarnation}, signal,
		}, {requestId, incarnation});
	}

	async cancel(requestId: RequestId): Promise<void> {
		await fetchJson(`${this.origin}/v1/streams/${encodeURIComponent(requestId)}`, {
			method: 'DELETE', timeoutMs: stateTimeoutMs, dispatcher: this.eventPool,
		});
	}

	async readState(): Promise<EngineState> {
		return fetchJson(`${this.origin}/state`, {
			timeoutMs: stateTimeoutMs, dispatcher: this.eventPool,
			onHeaders: headers => {
				this.checkLeaving(headers);
			},
		});
	}

	async readBlocks(): Promise<BlockSnapshot> {
		return fetchJson(`${this.origin}/cache/blocks`, {timeoutMs: snapshotTimeoutMs, dispatcher: this.eventPool});
	}

	watchCacheEvents(after: number): Stream<CacheEvent> {
		return createTaskStream(async (emit, signal) => this.readEvents(after, signal, emit));
	}

	async sendOrder(order: EngineOrder, timeoutMs: number): Promise<'accepted' | 'staleFencing' | 'refused'> {
		const answer = await this.eventPool.request({
			method: 'POST', path: '/orders', headers: {'content-type': 'application/json'},
			body: JSON.stringify(order), signal: AbortSignal.timeout(timeoutMs),
		});
		await answer.body.dump();
		if (answer.statusCode === 409) {
			return 'staleFencing';
		}

		return answer.statusCode < 300 ? 'accepted' : 'refused';
	}

	async close(): Promise<void> {
		await Promise.all([this.pool.destroy(), this.eventPool.destroy()]);
	}

	private async open(options: Dispatcher.RequestOptions, expected: ExpectedAnswer): Promise<EngineAnswer> {
		let answer: Dispatcher.ResponseData;
		try {
			answer = await this.pool.request(options);
		} catch (error) {
			throw convertEngineError(error);
		}

		this.checkLeaving(answer.headers);
		if (answer.statusCode !== 200) {
			throw await convertRefusal(answer);
		}

		const {headers} = answer;
		if (!matchesAnswer(headers, expected)) {
			discardBody(answer.body);
			throw createRouterError('answerMismatch', `expected ${expected.requestId}`);
		}

		return {
			requestId: expected.requestId,
			incarnation: String(headers['x-engine-incarnation']) as Incarnation,
			weightsVersion: String(headers['x-weights-version']),
			cachedTokens: Number(headers['x-cached-tokens'] ?? 0),
			chunks: readChunks(answer.body),
		};
	}

	private checkLeaving(headers: IncomingHttpHeaders): void {
		if (headers[leavingHeader] === 'true') {
			this.onLeaving?.();
		}
	}

	private async readEvents(after: number, signal: AbortSignal, emit: (event: CacheEvent) => void): Promise<never> {
		const answer = await this.eventPool.request({method: 'GET', path: `/cache/events?after=${after}`, signal});
		if (answer.statusCode !== 200) {
			throw await convertRefusal(answer);
		}

		let rest = '';
		answer.body.setEncoding('utf8');
		for await (const chunk of answer.body) {
			const lines = (rest + (chunk as string)).split('\n');
			rest = lines.pop() ?? '';
			for (const line of lines) {
				emit(JSON.parse(line) as CacheEvent);
			}
		}

		throw createRouterError('targetUnreachable', 'the cache event stream ended');
	}
}

/** Also refuses the answer of an engine that ignores what was expected and runs the request on other weights or another cache. */
function matchesAnswer(headers: IncomingHttpHeaders, expected: ExpectedAnswer): boolean {
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

/** After the end marker the few bytes left are read, so that the connection can be used again; otherwise it is closed. */
function releaseBody(body: Dispatcher.ResponseData['body'], hasEnded: boolean): void {
	body.on('error', () => {
		// Whoever read the body has been told, or no longer needs it.
	});
	if (!hasEnded) {
		discardBody(body);
		return;
	}

	const timer = setTimeout(() => {
		body.destroy();
	}, leftoverMs);
	body.once('close', () => {
		clearTimeout(timer);
	});
	body.resume();
}

/** Longest refusal text that is read, in bytes. */
const refusalBytes = 4096;

/** Only 412 and the header `x-not-run` state that the request did not run. */
async function convertRefusal(answer: Dispatcher.ResponseData): Promise<RouterError> {
	const detail = `status ${answer.statusCode}: ${await readStart(answer.body)}`;
	if (answer.statusCode === 412 || answer.headers['x-not-run'] === 'true') {
		return createRouterError('targetRefused', detail);
	}

	return createRouterError(answer.statusCode === 400 ? 'malformedRequest' : 'outcomeUnknown', detail, {mayHaveRun: true});
}

async function readStart(body: AsyncIterable<Uint8Array>): Promise<string> {
	let text = '';
	try {
		for await (const chunk of body) {
			text += Buffer.from(chunk).toString('utf8');
			if (text.length >= refusalBytes) {
				break;
			}
		}
	} catch {
		// The status alone decides; the text only helps people.
	}

	return text.slice(0, 200);
}

/** An error before the answer's headers: not run only when no byte can have been sent. */
function convertEngineError(error: unknown): RouterError {
	const {message} = error as Error;
	const name = {neverConnected: 'targetUnreachable', silent: 'targetTimeout', unknown: 'outcomeUnknown'} as const;
	return createRouterError(name[classifyCallError(error)], message, {cause: error as Error});
}

function convertStreamError(error: unknown): RouterError {
	if (error instanceof RouterError) {
		return error;
	}

	const name = classifyCallError(error) === 'silent' ? 'targetTimeout' : 'streamBroken';
	return createRouterError(name, (error as Error).message, {cause: error as Error});
}
