/** Stand-in of the platform's object API with an HTTP interface. */

import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {readJsonBody} from '../../http/read-body/index.js';
import {sendJson} from '../../http/send-json/index.js';
import type {ResourceVersion} from '../../identity/ids/index.js';
import {type MemoryObjectApi, maximumValueBytes, type ObjectApiFaults} from '../../store/memory-object-api/index.js';
import {
	ObjectApiError, type ObjectApiFailure, type StoredObject, type WatchEvent,
} from '../../store/object-api/index.js';

const bookmarkIntervalMs = 1000;
const msPerSecond = 1000;

const statusByFailure: Readonly<Record<ObjectApiFailure, number>> = {
	notFound: 404, conflict: 409, expired: 410, tooLarge: 413, rateLimited: 429, unavailable: 503, unknownOutcome: 503,
};

type RequestBody = {metadata?: {name?: string; resourceVersion?: string}; value?: unknown};

/** Rate limits of the server, in calls per second. */
export type ObjectApiServerOptions = {readonly writesPerSecond: number; readonly readsPerSecond: number};

/** Fixed-window rate limiter with windows of one second. */
class RateLimiter {
	private windowSecond = 0;
	private count = 0;

	constructor(private readonly limit: number) {}

	tryAcquire(nowMs: number): boolean {
		const second = Math.floor(nowMs / msPerSecond);
		if (second !== this.windowSecond) {
			this.windowSecond = second;
			this.count = 0;
		}

		this.count += 1;
		return this.count <= this.limit;
	}
}

/** Creates the server; `POST /faults` sets faults, `GET /calls` returns the number of calls. */
export function createObjectApiServer(api: MemoryObjectApi, options: ObjectApiServerOptions): Server {
	const writes = new RateLimiter(options.writesPerSecond);
	const reads = new RateLimiter(options.readsPerSecond);
	return createServer((message, response) => {
		const limiter = message.method === 'GET' ? reads : writes;
		void serve(api, limiter, message, response).catch((error: unknown) => {
			sendError(response, error);
		});
	});
}

async function serve(api: MemoryObjectApi, limiter: RateLimiter, message: IncomingMessage, response: ServerResponse): Promise<void> {
	const url = new URL(message.url ?? '/', 'http://localhost');
	const [root, collection, name] = url.pathname.split('/').slice(1).map(segment => decodeURIComponent(segment));
	if (root === 'faults') {
		applyFaults(api, await readJsonBody(message, maximumValueBytes) as Partial<ObjectApiFaults>);
		sendJson(response, 200, api.faults);
		return;
	}

	if (root === 'calls') {
		sendJson(response, 200, api.calls);
		return;
	}

	if (root !== 'apis' || collection === undefined) {
		sendJson(response, 404, {message: 'no such path'});
		return;
	}

	if (!limiter.tryAcquire(Date.now())) {
		sendJson(response, 429, {message: 'too many calls'}, {'retry-after': '1'});
		return;
	}

	if (url.searchParams.get('watch') === 'true') {
		serveWatch(api, collection, url.searchParams.get('resourceVersion') ?? '0', response);
		return;
	}

	await serveCall(api, {collection, name, version: url.searchParams.get('resourceVersion') ?? undefined}, message, response);
}

type CallPath = {readonly collection: string; readonly name: string | undefined; readonly version: string | undefined};

async function serveCall(api: MemoryObjectApi, {collection, name, version}: CallPath, message: IncomingMessage, response: ServerResponse): Promise<void> {
	const readRequestBody = async () => await readJsonBody(message, 2 * maximumValueBytes) as RequestBody;
	switch (message.method ?? 'GET') {
		case 'GET': {
			const answer = name === undefined ? formatList(await api.list(collection)) : formatObject(await api.get(collection, name));
			sendJson(response, 200, answer);
			return;
		}

		case 'POST': {
			const body = await readRequestBody();
			sendJson(response, 201, formatObject(await api.create(collection, body.metadata?.name ?? '', body.value)));
			return;
		}

		case 'PUT': {
			const body = await readRequestBody();
			const expected = (body.metadata?.resourceVersion ?? '') as ResourceVersion;
			sendJson(response, 200, formatObject(await api.update(collection, name ?? '', body.value, expected)));
			return;
		}

		case 'DELETE': {
			await api.remove(collection, name ?? '', version as ResourceVersion | undefined);
			sendJson(response, 200, {});
			return;
		}

		default: {
			sendJson(response, 405, {message: 'method not allowed'});
		}
	}
}

function serveWatch(api: MemoryObjectApi, collection: string, fromVersion: string, response: ServerResponse): void {
	const send = (event: unknown) => {
		if (!response.headersSent) {
			response.writeHead(200, {'content-type': 'application/json'});
		}

		response.write(`${JSON.stringify(event)}\n`);
	};

	const subscription = api.watch(collection, fromVersion as ResourceVersion).subscribe({
		next(event) {
			send(formatEvent(event));
		},
		error(error) {
			sendError(response, error);
		},
		complete() {
			response.end();
		},
	});
	const bookmarkTimer = setInterval(() => {
		send({type: 'BOOKMARK', object: {metadata: {name: '', resourceVersion: api.formatVersion()}}});
	}, bookmarkIntervalMs);
	response.once('close', () => {
		clearInterval(bookmarkTimer);
		subscription.unsubscribe();
	});
}

function applyFaults(api: MemoryObjectApi, faults: Partial<ObjectApiFaults>): void {
	Object.assign(api.faults, faults);
	if (faults.isDown !== undefined) {
		api.setDown(faults.isDown);
	}
}

/** Sends an error response. After a lost answer it closes the connection instead, as a network failure would. */
function sendError(response: ServerResponse, error: unknown): void {
	if (response.headersSent || (error instanceof ObjectApiError && error.failure === 'unknownOutcome')) {
		response.destroy();
		return;
	}

	const status = error instanceof ObjectApiError ? statusByFailure[error.failure] : 400;
	sendJson(response, status, {message: (error as Error).message});
}

function formatObject(object: StoredObject): unknown {
	return {metadata: {name: object.name, resourceVersion: object.resourceVersion}, value: object.value};
}

function formatList(list: {items: readonly StoredObject[]; resourceVersion: string}): unknown {
	return {metadata: {resourceVersion: list.resourceVersion}, items: list.items.map(formatObject)};
}

function formatEvent(event: WatchEvent): unknown {
	return event.type === 'bookmark'
		? {type: 'BOOKMARK', object: {metadata: {name: '', resourceVersion: event.resourceVersion}}}
		: {type: event.type.toUpperCase(), object: formatObject(event.object)};
}
