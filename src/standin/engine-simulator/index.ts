/**
 * Simulates continuous batching in the stand-in engine. Each step prefills a chunk of one prompt and
 * decodes one token of every request whose prefill is done, so long prompts slow down decoding. The
 * number of slots is limited. Waiting requests are admitted by priority, then by arrival, and prompts
 * are prefilled in the same order.
 */

import {performance} from 'node:perf_hooks';
import {setImmediate, setTimeout as delay} from 'node:timers/promises';
import type {BlockKey, RequestId} from '../../identity/ids/index.js';
import type {EngineLoad} from '../../targets/engine-client/index.js';
import {pieceBytes, bytesPerToken} from '../../placement/hash-prompt/index.js';
import type {EngineCache} from '../engine-cache/index.js';
import {generateTokens} from '../generate-tokens/index.js';

/** Speed and number of slots of the engine. */
export type EngineSpeed = {
	readonly slots: number;
	readonly prefillTokensPerMs: number;
	readonly decodeMsPerToken: number;
};

/** A request to the simulated engine. */
export type EngineJob = {
	readonly requestId: RequestId;
	readonly prompt: string;
	readonly blocks: readonly BlockKey[];
	readonly promptTokens: number;
	readonly maximumTokens: number;
	/** Lower values are scheduled first. */
	readonly priority: number;
	readonly weightsVersion: string;
	readonly isChat: boolean;
};

/** The stream of a request. It is retained for some time after its end so that it can be resumed. */
export type EngineStream = {
	readonly job: EngineJob;
	readonly tokens: string[];
	cachedTokens: number;
	isDone: boolean;
	isCancelled: boolean;
	/** Called on each new token and at the end. */
	readonly listeners: Set<() => void>;
};

const streamRetentionMs = 30_000;
const tokensPerBlock = pieceBytes / bytesPerToken;
/** Maximum number of prompt tokens that one step prefills. */
const maximumPrefillTokensPerStep = 2048;
/** Maximum number of steps without a pause per turn of the event loop; yielding after each would make engines without decoding time costly. */
const maximumStepsPerTurn = 32;
/** Shorter pauses are carried over to later steps, since timers have a resolution of 1 ms. */
const minimumPauseMs = 1;

/** Totals since the engine's start. */
export type EngineTotals = {requests: number; promptTokens: number; cachedTokens: number; generatedTokens: number; peakWaiting: number};

type BatchItem = {readonly stream: EngineStream; readonly outputTokens: readonly string[]; remainingPrefillTokens: number; hasStartedPrefill: boolean};

/** Runs jobs as a batch. */
export class EngineSimulator {
	readonly totals: EngineTotals = {
		requests: 0, promptTokens: 0, cachedTokens: 0, generatedTokens: 0, peakWaiting: 0,
	};

	private readonly streams = new Map<RequestId, EngineStream>();
	private readonly waiting: BatchItem[] = [];
	private running: BatchItem[] = [];
	private isStepping = false;

	constructor(private readonly speed: EngineSpeed, readonly cache: EngineCache) {}

	/** Queues a job and returns its stream, whose `cachedTokens` is final once its first token has been generated. */
	submit(job: EngineJob): EngineStream {
		const outputTokens = generateTokens(job.prompt, job.maximumTokens);
		// The prompt is not needed any more and would use memory while the stream is retained.
		const stream: EngineStream = {
			job: {...job, prompt: ''}, tokens: [], cachedTokens: 0, isDone: false, isCancelled: false, listeners: new Set(),
		};
		this.streams.set(job.requestId, stream);
		const remainingPrefillTokens = job.promptTokens - this.countCachedTokens(job);
		this.waiting.push({
			stream, outputTokens, remainingPrefillTokens, hasStartedPrefill: false,
		});
		this.waiting.sort((a, b) => a.stream.job.priority - b.stream.job.priority);
		void this.runSteps();
		return stream;
	}

	find(requestId: RequestId): EngineStream | undefined {
		return this.streams.get(requestId);
	}

	/** Cancels a request; its slot is free after the next step. */
	cancel(requestId: RequestId): void {
		const stream = this.streams.get(requestId);
		if (stream !== undefined) {
			stream.isCancelled = true;
		}
	}

	readLoad(): EngineLoad {
		const pendingPrefillTokens = [...this.waiting, ...this.running].reduce((sum, item) => sum + item.remainingPrefillTokens, 0);
		return {
			running: this.running.length, waiting: this.waiting.length, slots: this.speed.slots, pendingPrefillTokens, ageMs: 0,
		};
	}

	private async runSteps(): Promise<void> {
		if (this.isStepping) {
			return;
		}

		this.isStepping = true;
		let stepDueAt = performance.now();
		let stepCount = 0;
		while (this.admitWaiting() > 0) {
			stepDueAt += this.beginStep();
			const pauseMs = stepDueAt - performance.now();
			if (pauseMs >= minimumPauseMs) {
				await delay(pauseMs);
			} else if (stepCount % maximumStepsPerTurn === 0) {
				await setImmediate();
			}

			stepCount += 1;
			this.finishStep();
		}

		this.isStepping = false;
	}

	/** Admits waiting requests to free slots; returns the number of running requests. */
	private admitWaiting(): number {
		while (this.running.length < this.speed.slots && this.waiting.length > 0) {
			this.running.push(this.waiting.shift()!);
		}

		this.totals.peakWaiting = Math.max(this.totals.peakWaiting, this.waiting.length);
		return this.running.length;
	}

	/** Selects the request whose prompt is prefilled in this step. */
	private selectPrefill(): BatchItem | undefined {
		const prefills = this.running.filter(item => item.remainingPrefillTokens > 0 || !item.hasStartedPrefill);
		return prefills.toSorted((a, b) => a.stream.job.priority - b.stream.job.priority)[0];
	}

	/** Begins the next step; returns its duration in milliseconds. */
	private beginStep(): number {
		const prefill = this.selectPrefill();
		if (prefill !== undefined && !prefill.hasStartedPrefill) {
			this.startPrefill(prefill);
		}

		const isDecoding = this.running.some(item => item.hasStartedPrefill && item.remainingPrefillTokens === 0);
		const prefillMs = Math.min(maximumPrefillTokensPerStep, prefill?.remainingPrefillTokens ?? 0) / this.speed.prefillTokensPerMs;
		return prefillMs + (isDecoding ? this.speed.decodeMsPerToken : 0);
	}

	/** Looks up the cache at the start of the prefill, since prompts prefilled during the wait may have filled it. */
	private startPrefill(item: BatchItem): void {
		const {job} = item.stream;
		const cachedBlocks = this.cache.matchPrefix(job.blocks);
		item.hasStartedPrefill = true;
		item.stream.cachedTokens = Math.min(job.promptTokens, cachedBlocks * tokensPerBlock);
		item.remainingPrefillTokens = job.promptTokens - item.stream.cachedTokens;
		this.totals.requests += 1;
		this.totals.promptTokens += job.promptTokens;
		this.totals.cachedTokens += item.stream.cachedTokens;
	}

	private finishStep(): void {
		const prefill = this.selectPrefill();
		if (prefill !== undefined) {
			prefill.remainingPrefillTokens = Math.max(0, prefill.remainingPrefillTokens - maximumPrefillTokensPerStep);
			if (prefill.remainingPrefillTokens === 0) {
				this.cache.store(prefill.stream.job.blocks);
			}
		}

		for (const item of this.running) {
			if (item.hasStartedPrefill && item.remainingPrefillTokens === 0) {
				this.generateToken(item);
			}
		}

		for (const item of this.running.filter(candidate => candidate.stream.isCancelled || candidate.stream.tokens.length === candidate.outputTokens.length)) {
			this.finish(item);
		}
	}

	private generateToken(item: BatchItem): void {
		const text = item.outputTokens[item.stream.tokens.length];
		if (text !== undefined) {
			item.stream.tokens.push(text);
			this.totals.generatedTokens += 1;
			notifyListeners(item.stream);
		}
	}

	private finish(item: BatchItem): void {
		this.running = this.running.filter(other => other !== item);
		item.stream.isDone = true;
		notifyListeners(item.stream);
		setTimeout(() => {
			this.streams.delete(item.stream.job.requestId);
		}, streamRetentionMs).unref();
	}

	private countCachedTokens(job: EngineJob): number {
		return Math.min(job.promptTokens, this.cache.countPrefix(job.blocks) * tokensPerBlock);
	}
}

function notifyListeners(stream: EngineStream): void {
	for (const listener of stream.listeners) {
		listener();
	}
}
