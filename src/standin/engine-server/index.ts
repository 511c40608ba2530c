/** Stand-in of a model engine over HTTP. */

import {randomUUID} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {readJsonBody} from '../../http/read-body/index.js';
import {sendJson} from '../../http/send-json/index.js';
import type {BlockKey, Incarnation, RequestId} from '../../identity/ids/index.js';
import {estimateTokens, hashPrompt} from '../../placement/hash-prompt/index.js';
import {parseCompletionRequest} from '../../requests/parse-completion-request/index.js';
import type {EngineModelState, EngineOrder} from '../../targets/engine-client/index.js';
import {EngineCache} from '../engine-cache/index.js';
import {EngineSimulator, type EngineSpeed, type EngineStream} from '../engine-simulator/index.js';

/** Faults of the stand-in engine, switched by `POST /faults`. */
export type EngineFaults = {
	/** Streams break after this many chunks. */
	breakAfterChunks: number | undefined;
	/** Streams go silent after this many chunks. */
	silentAfterChunks: number | undefined;
	/** Fraction of cache events that are lost. */
	eventLoss: number;
};

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
	/** Fraction of cache events that are lost at first. */
	readonly eventLoss?: number;
};

const bodyLimitBytes = 64_000_000;
const eventHeartbeatMs = 1000;
/** Time to copy one block of KV cache from the store or another engine. */
const importMsPerBlock = 5;

type BlockList = {readonly blocks: readonly BlockKey[]};

/** A stand-in engine. */
export class EngineServer {
	readonly server: Server;
	readonly incarnation = randomUUID() as Incarnation;
	readonly faults: EngineFaults = {breakAfterChunks: undefined, silentAfterChunks: undefined, eventLoss: 0};
	private readonly simulator: EngineSimulator;
	private models: EngineModelState[];
	private role: 'mixed' | 'prefill' | 'decode' = 'mixed';
	private isLeaving = false;
	private highestFencing = 0;
	private reportedLoad;
	private reportedAt = performance.now();

	constructor(private readonly options: EngineServerOptions) {
		this.faults.eventLoss = options.eventLoss ?? 0;
		this.models = [...options.models];
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

	private async serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = new URL(message.url ?? '/', 'http://localhost');
		const {pathname} = url;
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
					incarnation: this.incarnation, role: this.role, isLeaving: this.isLeaving, models: this.models,
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
				this.takeOrder(await readJsonBody(message, bodyLimitBytes) as EngineOrder, response);
				return;
			}

			case '/faults': {
				Object.assign(this.faults, await readJsonBody(message, bodyLimitBytes));
				sendJson(response, 200, this.faults);
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
		const held = this.models.find(model => model.state === 'ready' && model.base === request.modelName && model.adapter === adapter);
		const {headers} = message;
		const isOtherIncarnation = (headers['x-expected-incarnation'] ?? this.incarnation) !== this.incarnation;
		if (held === undefined || isOtherIncarnation || (headers['x-expected-weights-version'] ?? held.weightsVersion) !== held.weightsVersion) {
			sendJson(response, 412, {error: {message: 'another incarnation or weights version'}}, {'x-not-run': 'true'});
			return;
		}

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
		});
		this.sendStream(stream, 0, path === '/v1/chat/completions', response);
	}

	private serveStream(requestId: RequestId, offset: number, message: IncomingMessage, response: ServerResponse): void {
		const stream = this.simulator.find(requestId);
		if (message.method === 'DELETE') {
			this.simulator.cancel(requestId);
			sendJson(response, 200, {});
			return;
		}

		if (stream === undefined) {
			sendJson(response, 404, {error: {message: 'no such stream'}});
			return;
		}

		this.sendStream(stream, offset, true, response);
	}

	/** Sends the stream's chunks from `offset`, the first one only when its token is there. */
	private sendStream(stream: EngineStream, offset: number, isChat: boolean, response: ServerResponse): void {
		let next = offset;
		const advance = () => {
			while (next < stream.tokens.length && !this.isSilenced(next)) {
				this.sendHeaders(stream, response);
				response.write(formatChunk(stream, next, isChat));
				next += 1;
				if (next - offset === this.faults.breakAfterChunks) {
					response.destroy();
					return;
				}
			}

			if (stream.isDone && next === stream.tokens.length) {
				this.sendHeaders(stream, response);
				response.end(`id: ${next}\ndata: [DONE]\n\n`);
			}
		};

		stream.listeners.add(advance);
		response.once('close', () => {
			stream.listeners.delete(advance);
		});
		advance();
	}

	private isSilenced(next: number): boolean {
		return this.faults.silentAfterChunks !== undefined && next >= this.faults.silentAfterChunks;
	}

	private sendHeaders(stream: EngineStream, response: ServerResponse): void {
		if (!response.headersSent) {
			response.writeHead(200, {
				'content-type': 'text/event-stream',
				'x-request-id': stream.job.requestId,
				'x-engine-incarnation': this.incarnation,
				'x-weights-version': stream.job.weightsVersion,
				'x-cached-tokens': String(stream.cachedTokens),
			});
		}
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

	private takeOrder(order: EngineOrder, response: ServerResponse): void {
		if (this.options.checksFencing && order.fencing < this.highestFencing) {
			sendJson(response, 409, {error: {message: 'stale fencing number'}});
			return;
		}

		this.highestFencing = Math.max(this.highestFencing, order.fencing);
		this.carryOut(order);
		sendJson(response, 202, {});
	}

	private carryOut(order: EngineOrder): void {
		if (order.order === 'changeRole') {
			this.role = order.role ?? this.role;
			return;
		}

		const others = this.models.filter(model => model.base !== order.base || model.adapter !== order.adapter);
		if (order.order === 'unloadWeights') {
			this.models = others;
			return;
		}

		const loading: EngineModelState = {
			base: order.base ?? '', adapter: order.adapter, weightsVersion: order.weightsVersion ?? '', state: 'loading',
		};
		this.models = [...others, loading];
		setTimeout(() => {
			// A later order may have replaced this load.
			if (this.models.includes(loading)) {
				this.simulator.cache.clear();
				this.models = this.models.map(model => model === loading ? {...loading, state: 'ready'} : model);
			}
		}, this.options.loadMs).unref();
	}
}

function formatChunk(stream: EngineStream, index: number, isChat: boolean): string {
	const isLast = index === stream.job.maximumTokens - 1;
	const text = stream.tokens[index] ?? '';
	const choice = isChat ? {index: 0, delta: {content: text}} : {index: 0, text};
	const data = {
		id: stream.job.requestId,
		object: isChat ? 'chat.completion.chunk' : 'text_completion',
		created: Math.floor(Date.now() / 1000),
		model: stream.job.weightsVersion,
		choices: [{...choice, finish_reason: isLast ? 'length' : null}],
		...(isLast && {usage: {prompt_tokens: stream.job.promptTokens, completion_tokens: index + 1, total_tokens: stream.job.promptTokens + index + 1}}),
	};
	return `id: ${index}\ndata: ${JSON.stringify(data)}\n\n`;
}
