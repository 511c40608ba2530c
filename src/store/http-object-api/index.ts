/**
 * HTTP client of the object API. A call that fails before it is sent is reported as `unavailable`. A write
 * that fails later is reported as `unknownOutcome`, since it may have taken effect.
 */

import {type Stream} from 'most';
import {Agent, request} from 'undici';
import type {ResourceVersion} from '../../identity/ids/index.js';
import {maximumAnswerBytes, readText} from '../../http/read-text/index.js';
import {createTaskStream} from '../../streams/create-task-stream/index.js';
import {LineSplitter} from '../../streams/line-splitter/index.js';
import {checkStatus, convertCallError} from '../convert-call-error/index.js';
import {parseVersion} from '../object-version/index.js';
import {
	ObjectApiError, type ObjectApi, type ObjectList, type StoredObject, type WatchEvent,
} from '../object-api/index.js';
import {limitDepth} from '../limit-depth/index.js';

/** Options of `HttpObjectApi`. */
export type HttpObjectApiOptions = {
	/** Origin of the API, for example `http://127.0.0.1:7000`. */
	readonly origin: string;
	/** Timeout of a call, in milliseconds. */
	readonly callTimeoutMs?: number;
	/** Time without data after which a watch counts as broken, in milliseconds. */
	readonly watchSilenceMs?: number;
	/** Called with the kind of each call, for metrics. */
	readonly onCall?: (kind: 'read' | 'write' | 'watch') => void;
};

const defaultCallTimeoutMs = 2000;
const defaultWatchSilenceMs = 4000;

type WireObject<Value> = {
	readonly metadata: {readonly name: string; readonly resourceVersion: ResourceVersion};
	readonly value: Value;
};

type WireWatchEvent<Value> = {readonly type: 'ADDED' | 'MODIFIED' | 'DELETED' | 'BOOKMARK'; readonly object: WireObject<Value>};

/** Object API over HTTP. */
export class HttpObjectApi implements ObjectApi {
	/** Called after each successful call and on all data received from a watch. */
	onHeard: (() => void) | undefined;
	private readonly agent: Agent;
	private readonly watchAgent: Agent;
	private era = 0;

	constructor(private readonly options: HttpObjectApiOptions) {
		const callTimeoutMs = options.callTimeoutMs ?? defaultCallTimeoutMs;
		this.agent = new Agent({connect: {timeout: callTimeoutMs}, headersTimeout: callTimeoutMs, bodyTimeout: callTimeoutMs});
		this.watchAgent = new Agent({
			connect: {timeout: callTimeoutMs},
			headersTimeout: callTimeoutMs,
			bodyTimeout: options.watchSilenceMs ?? defaultWatchSilenceMs,
		});
	}

	readEra(): number {
		return this.era;
	}

	async get<Value>(collection: string, name: string): Promise<StoredObject<Value>> {
		const wire = await this.call<WireObject<Value>>('GET', formatPath(collection, name));
		return this.convertAnswer(collection, wire);
	}

	async list<Value>(collection: string): Promise<ObjectList<Value>> {
		const wire = await this.call<{metadata: {resourceVersion: ResourceVersion}; items: Array<WireObject<Value>>}>('GET', formatPath(collection));
		this.recordVersion(wire.metadata.resourceVersion);
		return {
			items: wire.items.map(item => convertObject(collection, item)),
			resourceVersion: wire.metadata.resourceVersion,
		};
	}

	async create<Value>(collection: string, name: string, value: Value): Promise<StoredObject<Value>> {
		const wire = await this.call<WireObject<Value>>('POST', formatPath(collection), {metadata: {name}, value});
		return this.convertAnswer(collection, wire);
	}

	async update<Value>(collection: string, name: string, value: Value, expected: ResourceVersion): Promise<StoredObject<Value>> {
		const body = {metadata: {name, resourceVersion: expected}, value};
		const wire = await this.call<WireObject<Value>>('PUT', formatPath(collection, name), body);
		return this.convertAnswer(collection, wire);
	}

	async remove(collection: string, name: string, expected?: ResourceVersion): Promise<void> {
		const query = expected === undefined ? '' : `?resourceVersion=${encodeURIComponent(expected)}`;
		await this.call('DELETE', formatPath(collection, name) + query);
	}

	watch<Value>(collection: string, from: ResourceVersion): Stream<WatchEvent<Value>> {
		return createTaskStream(async (emit, signal) => {
			this.options.onCall?.('watch');
			const path = `${formatPath(collection)}?watch=true&resourceVersion=${encodeURIComponent(from)}`;
			await this.readWatch(collection, path, signal, emit);
		});
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await Promise.all([this.agent.destroy(), this.watchAgent.destroy()]);
	}

	private convertAnswer<Value>(collection: string, wire: WireObject<Value>): StoredObject<Value> {
		this.recordVersion(wire.metadata.resourceVersion);
		return convertObject(collection, wire);
	}

	private recordVersion(version: ResourceVersion): void {
		this.era = Math.max(this.era, parseVersion(version).era);
	}

	private async call<Result>(method: 'GET' | 'POST' | 'PUT' | 'DELETE', path: string, body?: unknown): Promise<Result> {
		this.options.onCall?.(method === 'GET' ? 'read' : 'write');
		try {
			const response = await request(this.options.origin + path, {
				method,
				dispatcher: this.agent,
				headers: body === undefined ? {} : {'content-type': 'application/json'},
				body: body === undefined ? undefined : JSON.stringify(body),
				signal: AbortSignal.timeout(this.options.callTimeoutMs ?? defaultCallTimeoutMs),
			});
			const text = await readText(response.body, maximumAnswerBytes);
			checkStatus(response.statusCode, text);
			this.onHeard?.();
			return (text === '' ? undefined : JSON.parse(text)) as Result;
		} catch (error) {
			throw convertCallError(error, method);
		}
	}

	private async readWatch<Value>(collection: string, path: string, signal: AbortSignal, emit: (event: WatchEvent<Value>) => void): Promise<never> {
		try {
			const response = await request(this.options.origin + path, {dispatcher: this.watchAgent, signal});
			if (response.statusCode !== 200) {
				checkStatus(response.statusCode, await readText(response.body, maximumAnswerBytes));
			}

			const splitter = new LineSplitter();
			for await (const chunk of response.body) {
				this.onHeard?.();
				for (const line of splitter.add(chunk as Buffer)) {
					emit(convertEvent(collection, JSON.parse(line) as WireWatchEvent<Value>));
				}
			}
		} catch (error) {
			throw convertCallError(error, 'GET');
		}

		throw new ObjectApiError('unavailable', 'the watch was closed by the server');
	}
}

function formatPath(collection: string, name?: string): string {
	const base = `/apis/${encodeURIComponent(collection)}`;
	return name === undefined ? base : `${base}/${encodeURIComponent(name)}`;
}

function convertObject<Value>(collection: string, wire: WireObject<Value>): StoredObject<Value> {
	return {
		collection, name: wire.metadata.name, resourceVersion: wire.metadata.resourceVersion, value: limitDepth(wire.value) as Value,
	};
}

function convertEvent<Value>(collection: string, wire: WireWatchEvent<Value>): WatchEvent<Value> {
	if (wire.type === 'BOOKMARK') {
		return {type: 'bookmark', resourceVersion: wire.object.metadata.resourceVersion};
	}

	const type = wire.type.toLowerCase() as 'added' | 'modified' | 'deleted';
	return {type, object: convertObject(collection, wire.object)};
}
