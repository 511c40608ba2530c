/** Stand-in of a model engine with an HTTP interface. */

import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {LRUCache} from 'lru-cache';
import {readJsonBody} from '../../http/read-body/index.js';
import {sendJson} from '../../http/send-json/index.js';
import type {BlockKey, Incarnation, RequestId} from '../../identity/ids/index.js';
import {estimateTokens, hashPrompt} from '../../placement/hash-prompt/index.js';
import {parseCompletionRequest} from '../../requests/parse-completion-request/index.js';
import type {EngineModelState, EngineOrder} from '../../targets/engine-client/index.js';
import {EngineCache} from '../engine-cache/index.js';
import {createEngineFaults, consumeFault, type EngineFaults} from '../engine-faults/index.js';
import {EngineSimulator, type EngineSpeed, type EngineStream} from '../engine-simulator/index.js';
import {EngineWeights} from '../engine-weights/index.js';
import {sendEngineStream} from '../send-engine-stream/index.js';

/** Options of a stand-in engine. */
export type EngineServerOptions = {
	readonly speed: EngineSpeed;
	readonly cacheBlocks: number;
	readonly models: readonly EngineModelState[];
	readonly checksFencing: boolean;
	/** Interval between updates of the load that `/state` reports. */
	readonly loadLagMs: number;
	/** Delay before a cache event is sent. */
	readonly eventLagMs: number;
	/** Time to load weights without a weight store. */
	readonly loadMs: number;
	/** Base URL of the weight store; without one, loading weights takes `loadMs`. */
	readonly weightStore?: string;
	/** Initial fraction of cache events that are lost; `POST /faults` changes it. */
	readonly eventLoss?: number;
};

const bodyLimitBytes = 64_000_000;
const eventHeartbeatIntervalMs = 1000;
const maximumTrackedPrompts = 100_000;
/** Time to import one block of KV cache from the store or another engine. */
const importMsPerBlock = 5;

type BlockListBody = {readonly blocks: readonly BlockKey[]};

const statusByOutcome = {accepted: 202, staleFencing: 409, refused: 410} as const;

/** A stand-in engine: its HTTP server, weights, cache and simulated batch. */
export class EngineServer {
	readonly server: Server;
	incarnation = randomUUID() as Incarnation;
	readonly faults: EngineFaults = createEngineFaults();
	/** Number of runs per last line of the prompt, against which tests check the router's answers. */
	readonly runs = new LRUCache<string, number>({max: maximumTrackedPrompts});
	/** Cancellations received, including those for unknown requests. */
	cancellations = 0;
	private simulator: EngineSimulator;
	private readonly weights: EngineWeights;
	private isLeaving = false;
	private reportedLoad;
	private loadReportedAt = performance.now();

	constructor(private readonly options: EngineServerOptions) {
		this.faults.eventLoss = options.eventLoss ?? 0;
		this.weights = new EngineWeights({
			...options,
			onReady: () => {
				this.simulator.cache.clear();
			},
		});
		this.simulator = new EngineSimulator(options.speed, new EngineCache(this.incarnation, options.cacheBlocks));
		this.reportedLoad = this.simulator.readLoad();
		setInterval(() => {
			this.reportedLoad = this.simulator.readLoad();
			this.loadReportedAt = performance.now();
		}, Math.max(1, options.loadLagMs)).unref();
		this.server = createServer((message, response) => {
			void this.serve(message, response).catch((error: unknown) => {
				sendJson(response, 400, {error: {message: (error as Error).message}});
			});
		});
	}

	/** Discards the cache and all streams, closes all connections and continues as a new incarnation. */
	restart(): void {
		this.incarnation = randomUUID() as Incarnation;
		this.simulator = new EngineSimulator(this.options.speed, new EngineCache(this.incarnation, this.options.cacheBlocks));
		this.server.closeAllConnections();
	}

	/** Resets all connections and refuses new ones for `durationMs`. What the engine has begun goes on. */
	async interruptConnections(durationMs: number): Promise<void> {
		const {port, address} = this.server.address() as AddressInfo;
		this.server.close();
		this.server.closeAllConnections();
		await delay(durationMs);
		this.server.listen(port, address);
		await once(this.server, 'listening');
	}

	private async serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = new URL(message.url ?? '/', 'http://localhost');
		const {pathname} = url;
		if (this.isLeaving) {
			response.setHeader('x-target-leaving', 'true');
		}

		if (pathname === '/v1/completions' || pathname === '/v1/chat/completions') {
			return this.serveCompletion(pathname, message, response);
		}

		if (pathname.startsWith('/v1/streams/')) {
			this.serveStream(decodeURIComponent(pathname.slice('/v1/streams/'.length)) as RequestId, Number(url.searchParams.get('offset')), message, response);
			return;
		}

		switch (pathname) {
			case '/state': {
				sendJson(response, 200, {
					incarnation: this.incarnation, role: this.weights.role, isLeaving: this.isLeaving, models: this.weights.models,
					load: {...this.reportedLoad, ageMs: Math.round(performance.now() - this.loadReportedAt)},
				});
				return;
			}

			case '/cache/blocks': {
				sendJson(response, 200, this.simulator.cache.readSnapshot());
				return;
			}

			case '/cache/export': {
				const {blocks} = await readJsonBody(message, bodyLimitBytes) as BlockListBody;
				sendJson(response, 200, {incarnation: this.incarnation, blocks: blocks.slice(0, this.simulator.cache.countPrefix(blocks))});
				return;
			}

			case '/cache/import': {
				const {blocks} = await readJsonBody(message, bodyLimitBytes) as BlockListBody;
				await delay(blocks.length * importMsPerBlock);
				this.simulator.cache.store(blocks);
				sendJson(response, 200, {});
				return;
			}

			case '/totals': {
				sendJson(response, 200, this.simulator.totals);
				return;
			}

			case '/cache/events': {
				this.serveEvents(Number(url.searchParams.get('after')), response);
				return;
			}

			case '/orders': {
				const outcome = this.weights.handleOrder(await readJsonBody(message, bodyLimitBytes) as EngineOrder);
				sendJson(response, statusByOutcome[outcome], {outcome});
				return;
			}

			case '/faults': {
				Object.assign(this.faults, await readJsonBody(message, bodyLimitBytes));
				sendJson(response, 200, this.faults);
				return;
			}

			case '/runs': {
				sendJson(response, 200, {runs: Object.fromEntries(this.runs.entries()), cancellations: this.cancellations});
				return;
			}

			case '/restart': {
				sendJson(response, 200, {});
				setImmediate(() => {
					this.restart();
				});
				return;
			}

			case '/leave': {
				this.isLeaving = true;
				sendJson(response, 200, {});
				return;
			}

			default: {
				sendJson(response, 404, {error: {message: 'no such path'}});
			}
		}
	}

	private async serveCompletion(path: '/v1/completions' | '/v1/chat/completions', message: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await readJsonBody(message, bodyLimitBytes) as Record<string, unknown>;
		const request = parseCompletionRequest(path, body);
		const adapter = body.adapter as string | undefined;
		const model = this.weights.findReady(request.modelName, adapter);
		const {headers} = message;
		const isOtherIncarnation = (headers['x-expected-incarnation'] ?? this.incarnation) !== this.incarnation;
		if (model === undefined || isOtherIncarnation || (headers['x-expected-weights-version'] ?? model.weightsVersion) !== model.weightsVersion) {
			sendJson(response, 412, {error: {message: 'another incarnation or weights version'}}, {'x-not-run': 'true'});
			return;
		}

		if (consumeFault(this.faults, 'resetsBeforeRun')) {
			message.socket.resetAndDestroy();
			return;
		}

		if (consumeFault(this.faults, 'refusals')) {
			sendJson(response, 503, {error: {message: 'busy'}}, {'x-not-run': 'true'});
			return;
		}

		this.recordRun(request.promptText);
		const scope = {
			salt: body.cache_salt as string | undefined ?? '', base: model.base, adapter, weightsVersion: model.weightsVersion,
		};
		const stream = this.simulator.submit({
			requestId: (headers['x-request-id'] ?? randomUUID()) as RequestId,
			prompt: request.promptText,
			blocks: hashPrompt(scope, request.promptText),
			promptTokens: estimateTokens(request.promptText),
			maximumTokens: request.maximumTokens,
			priority: Number(body.priority ?? 0),
			weightsVersion: model.weightsVersion,
			isChat: path === '/v1/chat/completions',
		});
		if (consumeFault(this.faults, 'resetsAfterRun')) {
			message.socket.resetAndDestroy();
			return;
		}

		if (this.faults.headerDelayMs > 0) {
			await delay(this.faults.headerDelayMs);
		}

		sendEngineStream(stream, {offset: 0, incarnation: this.incarnation, faults: this.faults}, response);
	}

	private recordRun(prompt: string): void {
		const lastLine = prompt.trimEnd().split('\n').at(-1) ?? '';
		this.runs.set(lastLine, (this.runs.get(lastLine) ?? 0) + 1);
	}

	private serveStream(requestId: RequestId, offset: number, message: IncomingMessage, response: ServerResponse): void {
		const stream = this.simulator.find(requestId);
		if (message.method === 'DELETE') {
			this.cancellations += 1;
			this.simulator.cancel(requestId);
			sendJson(response, 200, {});
			return;
		}

		if (stream === undefined || this.faults.forgetsStreams) {
			sendJson(response, 404, {error: {message: 'no such stream'}});
			return;
		}

		sendEngineStream(stream, {offset, incarnation: this.incarnation, faults: this.faults}, response);
	}

	private serveEvents(after: number, response: ServerResponse): void {
		response.writeHead(200, {'content-type': 'application/json'});
		const send = (event: unknown) => {
			setTimeout(() => {
				response.write(`${JSON.stringify(event)}\n`);
			}, this.options.eventLagMs);
		};

		const unsubscribe = this.simulator.cache.subscribe(after, event => {
			if (Math.random() >= this.faults.eventLoss) {
				send(event);
			}
		});
		const heartbeatTimer = setInterval(() => {
			send(this.simulator.cache.createHeartbeat());
		}, eventHeartbeatIntervalMs);
		response.once('close', () => {
			unsubscribe();
			clearInterval(heartbeatTimer);
		});
	}
}
