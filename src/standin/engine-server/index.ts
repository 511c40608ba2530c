/** Stand-in of a model engine over HTTP. */

import {randomUUID} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
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
import {createEngineFaults, takeFault, type EngineFaults} from '../engine-faults/index.js';
import {EngineSimulator, type EngineSpeed, type EngineStream} from '../engine-simulator/index.js';
import {EngineWeights} from '../engine-weights/index.js';
import {sendEngineStream} from '../send-engine-stream/index.js';

/** Set-up of a stand-in engine. */
export type EngineServerOptions = {
	readonly speed: EngineSpeed;
	readonly cacheBlocks: number;
	readonly models: readonly EngineModelState[];
	readonly checksFencing: boolean;
	/** Age of the load that `/state` reports. */
	readonly loadLagMs: number;
	/** Delay of cache events. */
	readonly eventLagMs: number;
	readonly loadMs: number;
	/** Base address of the weight store; loads take `loadMs` without one. */
	readonly weightStore?: string;
	/** Fraction of cache events that are lost at first. */
	readonly eventLoss?: number;
};

const bodyLimitBytes = 64_000_000;
const eventHeartbeatMs = 1000;
const keptRuns = 100_000;
/** Time to copy one block of KV cache from the store or another engine. */
const importMsPerBlock = 5;

type BlockList = {readonly blocks: readonly BlockKey[]};

const orderStatus = {accepted: 202, staleFencing: 409, refused: 410} as const;

/** A stand-in engine. */
export class EngineServer {
	readonly server: Server;
	incarnation = randomUUID() as Incarnation;
	readonly faults: EngineFaults = createEngineFaults();
	/** Runs by the prompt's last line: the ground truth of tests. */
	readonly runs = new LRUCache<string, number>({max: keptRuns});
	/** Cancellations received, for requests known or not. */
	cancellations = 0;
	private simulator: EngineSimulator;
	private readonly weights: EngineWeights;
	private isLeaving = false;
	private reportedLoad;
	private reportedAt = performance.now();

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
			this.reportedAt = performance.now();
		}, Math.max(1, options.loadLagMs)).unref();
		this.server = createServer((message, response) => {
			void this.serve(message, response).catch((error: unknown) => {
				sendJson(response, 400, {error: {message: (error as Error).message}});
			});
		});
	}

	/** Loses cache, streams and connections, and comes back as another incarnation. */
	restart(): void {
		this.incarnation = randomUUID() as Incarnation;
		this.simulator = new EngineSimulator(this.options.speed, new EngineCache(this.incarnation, this.options.cacheBlocks));
		this.server.closeAllConnections();
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
					load: {...this.reportedLoad, ageMs: Math.round(performance.now() - this.reportedAt)},
				});
				return;
			}

			case '/cache/blocks': {
				sendJson(response, 200, this.simulator.cache.readSnapshot());
				return;
			}

			case '/cache/export': {
				const {blocks} = await readJsonBody(message, bodyLimitBytes) as BlockList;
				sendJson(response, 200, {incarnation: this.incarnation, blocks: blocks.slice(0, this.simulator.cache.countPrefix(blocks))});
				return;
			}

			case '/cache/import': {
				const {blocks} = await readJsonBody(message, bodyLimitBytes) as BlockList;
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
				const outcome = this.weights.takeOrder(await readJsonBody(message, bodyLimitBytes) as EngineOrder);
				sendJson(response, orderStatus[outcome], {outcome});
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
		const held = this.weights.findReady(request.modelName, adapter);
		const {headers} = message;
		const isOtherIncarnation = (headers['x-expected-incarnation'] ?? this.incarnation) !== this.incarnation;
		if (held === undefined || isOtherIncarnation || (headers['x-expected-weights-version'] ?? held.weightsVersion) !== held.weightsVersion) {
			sendJson(response, 412, {error: {message: 'another incarnation or weights version'}}, {'x-not-run': 'true'});
			return;
		}

		if (takeFault(this.faults, 'resetsBeforeRun')) {
			message.socket.resetAndDestroy();
			return;
		}

		if (takeFault(this.faults, 'refusals')) {
			sendJson(response, 503, {error: {message: 'busy'}}, {'x-not-run': 'true'});
			return;
		}

		this.noteRun(request.promptText);
		const scope = {
			salt: body.cache_salt as string | undefined ?? '', base: held.base, adapter, weightsVersion: held.weightsVersion,
		};
		const stream = this.simulator.submit({
			requestId: (headers['x-request-id'] ?? randomUUID()) as RequestId,
			prompt: request.promptText,
			blocks: hashPrompt(scope, request.promptText),
			promptTokens: estimateTokens(request.promptText),
			maximumTokens: request.maximumTokens,
			priority: Number(body.priority ?? 0),
			weightsVersion: held.weightsVersion,
			isChat: path === '/v1/chat/completions',
		});
		if (takeFault(this.faults, 'resetsAfterRun')) {
			message.socket.resetAndDestroy();
			return;
		}

		if (this.faults.headerDelayMs > 0) {
			await delay(this.faults.headerDelayMs);
		}

		sendEngineStream(stream, {offset: 0, incarnation: this.incarnation, faults: this.faults}, response);
	}

	private noteRun(prompt: string): void {
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

		const stop = this.simulator.cache.follow(after, event => {
			if (Math.random() >= this.faults.eventLoss) {
				send(event);
			}
		});
		const timer = setInterval(() => {
			send(this.simulator.cache.createHeartbeat());
		}, eventHeartbeatMs);
		response.once('close', () => {
			stop();
			clearInterval(timer);
		});
	}
}
