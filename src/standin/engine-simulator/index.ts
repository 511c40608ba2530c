/**
 * The stand-in engine's inner life: continuous batching in steps. Each step computes a chunk of one
 * prompt and one token of every request that decodes, so long prompts slow down decoding. Slots are
 * limited; waiting requests and prompts are taken by priority, then by arrival.
 */

import {performance} from 'node:perf_hooks';
import {setImmediate, setTimeout as delay} from 'node:timers/promises';
import type {BlockKey, RequestId} from '../../identity/ids/index.js';
import type {EngineLoad} from '../../targets/engine-client/index.js';
import {pieceBytes, bytesPerToken} from '../../placement/hash-prompt/index.js';
import type {EngineCache} from '../engine-cache/index.js';
import {generateTokens} from '../generate-tokens/index.js';

/** Speed and size of the engine. Times are in milliseconds. */
export type EngineSpeed = {
	readonly slots: number;
	readonly prefillTokensPerMs: number;
	readonly decodeMsPerToken: number;
};

/** A request as the engine runs it. */
export type EngineJob = {
	readonly requestId: RequestId;
	readonly prompt: string;
	readonly blocks: readonly BlockKey[];
	readonly promptTokens: number;
	readonly maximumTokens: number;
	/** Lower goes first. */
	readonly priority: number;
	readonly weightsVersion: string;
	readonly isChat: boolean;
};

/** A stream that is being generated; it is kept for a while so that it can be resumed. */
export type EngineStream = {
	readonly job: EngineJob;
	readonly tokens: string[];
	cachedTokens: number;
	isDone: boolean;
	isCancelled: boolean;
	/** Woken on each new token and at the end. */
	readonly listeners: Set<() => void>;
};

const keptStreamMs = 30_000;
const pieceTokens = pieceBytes / bytesPerToken;
/** Prompt tokens that one step computes at most. */
const chunkTokens = 2048;
/** Steps without a pause in one turn of the event loop, so that an engine without decoding time is cheap. */
const stepsPerTurn = 32;
/** Shorter pauses than this are caught up in later steps, since timers are not more exact. */
const shortestPauseMs = 1;

/** What an engine has done since its start. */
export type EngineTotals = {requests: number; promptTokens: number; cachedTokens: number; generatedTokens: number; peakWaiting: number};

type Running = {readonly stream: EngineStream; readonly texts: readonly string[]; missingTokens: number; hasStarted: boolean};

/** Runs jobs in a batch. */
export class EngineSimulator {
	readonly totals: EngineTotals = {
		requests: 0, promptTokens: 0, cachedTokens: 0, generatedTokens: 0, peakWaiting: 0,
	};

	private readonly streams = new Map<RequestId, EngineStream>();
	private readonly waiting: Running[] = [];
	private running: Running[] = [];
	private isStepping = false;

	constructor(private readonly speed: EngineSpeed, readonly cache: EngineCache) {}

	/** Starts a job and returns its stream; the stream's `cachedTokens` are final when its first token is there. */
	submit(job: EngineJob): EngineStream {
		const texts = generateTokens(job.prompt, job.maximumTokens);
		// The stream is kept for a while; its prompt is not needed any more.
		const stream: EngineStream = {
			job: {...job, prompt: ''}, tokens: [], cachedTokens: 0, isDone: false, isCancelled: false, listeners: new Set(),
		};
		this.streams.set(job.requestId, stream);
		const missingTokens = job.promptTokens - this.countCachedTokens(job);
		this.waiting.push({
			stream, texts, missingTokens, hasStarted: false,
		});
		this.waiting.sort((a, b) => a.stream.job.priority - b.stream.job.priority);
		void this.runSteps();
		return stream;
	}

	find(requestId: RequestId): EngineStream | undefined {
		return this.streams.get(requestId);
	}

	/** Stops generating; the slot is free at the next step. */
	cancel(requestId: RequestId): void {
		const stream = this.streams.get(requestId);
		if (stream !== undefined) {
			stream.isCancelled = true;
		}
	}

	readLoad(): EngineLoad {
		const pendingPrefillTokens = [...this.waiting, ...this.running].reduce((sum, item) => sum + item.missingTokens, 0);
		return {
			running: this.running.length, waiting: this.waiting.length, slots: this.speed.slots, pendingPrefillTokens, ageMs: 0,
		};
	}

	private async runSteps(): Promise<void> {
		if (this.isStepping) {
			return;
		}

		this.isStepping = true;
		let dueAt = performance.now();
		let steps = 0;
		while (this.admitWaiting() > 0) {
			dueAt += this.measureStep();
			const pauseMs = dueAt - performance.now();
			if (pauseMs >= shortestPauseMs) {
				await delay(pauseMs);
			} else if (steps % stepsPerTurn === 0) {
				await setImmediate();
			}

			steps += 1;
			this.finishStep();
		}

		this.isStepping = false;
	}

	/** Fills free slots; returns the number of running requests. */
	private admitWaiting(): number {
		while (this.running.length < this.speed.slots && this.waiting.length > 0) {
			this.running.push(this.waiting.shift()!);
		}

		this.totals.peakWaiting = Math.max(this.totals.peakWaiting, this.waiting.length);
		return this.running.length;
	}

	/** Prompt that is computed in this step. */
	private selectPrefill(): Running | undefined {
		const prompts = this.running.filter(item => item.missingTokens > 0 || !item.hasStarted);
		return prompts.toSorted((a, b) => a.stream.job.priority - b.stream.job.priority)[0];
	}

	/** Duration of the next step in milliseconds. */
	private measureStep(): number {
		const prefill = this.selectPrefill();
		if (prefill !== undefined && !prefill.hasStarted) {
			this.startPrefill(prefill);
		}

		const isDecoding = this.running.some(item => item.hasStarted && item.missingTokens === 0);
		const computeMs = Math.min(chunkTokens, prefill?.missingTokens ?? 0) / this.speed.prefillTokensPerMs;
		return computeMs + (isDecoding ? this.speed.decodeMsPerToken : 0);
	}

	/** Looks up the cache only now, since prompts computed in between may have filled it. */
	private startPrefill(item: Running): void {
		const {job} = item.stream;
		const cachedPieces = this.cache.matchPrefix(job.blocks);
		item.hasStarted = true;
		item.stream.cachedTokens = Math.min(job.promptTokens, cachedPieces * pieceTokens);
		item.missingTokens = job.promptTokens - item.stream.cachedTokens;
		this.totals.requests += 1;
		this.totals.promptTokens += job.promptTokens;
		this.totals.cachedTokens += item.stream.cachedTokens;
	}

	private finishStep(): void {
		const prefill = this.selectPrefill();
		if (prefill !== undefined) {
			prefill.missingTokens = Math.max(0, prefill.missingTokens - chunkTokens);
			if (prefill.missingTokens === 0) {
				this.cache.store(prefill.stream.job.blocks);
			}
		}

		for (const item of this.running) {
			if (item.hasStarted && item.missingTokens === 0) {
				this.generateToken(item);
			}
		}

		for (const item of this.running.filter(running => running.stream.isCancelled || running.stream.tokens.length === running.texts.length)) {
			this.finish(item);
		}
	}

	private generateToken(item: Running): void {
		const text = item.texts[item.stream.tokens.length];
		if (text !== undefined) {
			item.stream.tokens.push(text);
			this.totals.generatedTokens += 1;
			notify(item.stream);
		}
	}

	private finish(item: Running): void {
		this.running = this.running.filter(other => other !== item);
		item.stream.isDone = true;
		notify(item.stream);
		setTimeout(() => {
			this.streams.delete(item.stream.job.requestId);
		}, keptStreamMs).unref();
	}

	private countCachedTokens(job: EngineJob): number {
		return Math.min(job.promptTokens, this.cache.countPrefix(job.blocks) * pieceTokens);
	}
}

function notify(stream: EngineStream): void {
	for (const listener of stream.listeners) {
		listener();
	}
}
