/**
 * The stand-in engine's inner life: a bounded batch of running requests, a waiting list ordered by
 * priority, prefill one prompt at a time, and decoding at a fixed pace.
 */

import {setImmediate as nextTurn, setTimeout as delay} from 'node:timers/promises';
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
	/** Whether chunks have the chat format. */
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
/** Tokens that an engine without decoding time generates in one turn of the event loop. */
const burstTokens = 32;
const pieceTokens = pieceBytes / bytesPerToken;

/** Runs jobs in a batch. */
export class EngineSimulator {
	private readonly streams = new Map<RequestId, EngineStream>();
	private readonly waiting: Array<{stream: EngineStream; start: () => void}> = [];
	private running = 0;
	private pendingPrefillTokens = 0;
	private prefillTail: Promise<void> = Promise.resolve();

	constructor(private readonly speed: EngineSpeed, readonly cache: EngineCache) {}

	/** Starts a job and returns its stream; the stream's `cachedTokens` are final when its first token is there. */
	submit(job: EngineJob): EngineStream {
		const stream: EngineStream = {
			job, tokens: [], cachedTokens: 0, isDone: false, isCancelled: false, listeners: new Set(),
		};
		this.streams.set(job.requestId, stream);
		this.pendingPrefillTokens += job.promptTokens;
		void this.runJob(stream);
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
		return {
			running: this.running, waiting: this.waiting.length, slots: this.speed.slots,
			pendingPrefillTokens: this.pendingPrefillTokens, ageMs: 0,
		};
	}

	private async runJob(stream: EngineStream): Promise<void> {
		await this.waitForSlot(stream);
		await this.prefill(stream);
		const texts = generateTokens(stream.job.prompt, stream.job.maximumTokens);
		for (const text of texts) {
			if (stream.isCancelled) {
				break;
			}

			stream.tokens.push(text);
			notify(stream);
			if (this.speed.decodeMsPerToken > 0) {
				await delay(this.speed.decodeMsPerToken);
			} else if (stream.tokens.length % burstTokens === 0) {
				await nextTurn();
			}
		}

		stream.isDone = true;
		notify(stream);
		this.releaseSlot();
		setTimeout(() => {
			this.streams.delete(stream.job.requestId);
		}, keptStreamMs).unref();
	}

	private async waitForSlot(stream: EngineStream): Promise<void> {
		if (this.running < this.speed.slots) {
			this.running += 1;
			return;
		}

		await new Promise<void>(start => {
			this.waiting.push({stream, start});
			this.waiting.sort((a, b) => a.stream.job.priority - b.stream.job.priority);
		});
	}

	/** Hands the slot to the next waiting job, or frees it. */
	private releaseSlot(): void {
		const next = this.waiting.shift();
		if (next === undefined) {
			this.running -= 1;
			return;
		}

		next.start();
	}

	private async prefill(stream: EngineStream): Promise<void> {
		const turn = this.prefillTail.then(async () => this.computePrompt(stream));
		this.prefillTail = turn;
		await turn;
	}

	private async computePrompt(stream: EngineStream): Promise<void> {
		const {job} = stream;
		if (!stream.isCancelled) {
			const cachedPieces = this.cache.matchPrefix(job.blocks);
			stream.cachedTokens = Math.min(job.promptTokens, cachedPieces * pieceTokens);
			const missing = job.promptTokens - stream.cachedTokens;
			const computeMs = missing / this.speed.prefillTokensPerMs;
			if (computeMs > 0) {
				await delay(computeMs);
			}

			this.cache.store(job.blocks);
		}

		this.pendingPrefillTokens -= job.promptTokens;
	}
}

function notify(stream: EngineStream): void {
	for (const listener of stream.listeners) {
		listener();
	}
}
