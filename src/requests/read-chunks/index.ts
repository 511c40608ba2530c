/** Checks the chunks of one generation: each must belong to the request, in order, without gap, up to a real end. */

import {createRouterError} from '../../results/create-router-error/index.js';
import type {RequestId} from '../../identity/ids/index.js';
import type {EngineChunk} from '../../targets/engine-client/index.js';
import type {RequestMetrics} from '../request-metrics/index.js';

/** One choice of a chunk in the published format. */
export type ChunkChoice = {
	index: number;
	text?: string;
	delta?: {role?: string; content?: string | null; tool_calls?: unknown[]};
	finish_reason?: string | null;
};

/** Token counts in the published format. */
export type CompletionUsage = {prompt_tokens: number; completion_tokens: number; total_tokens: number};

/** A chunk in the published format. */
export type WireChunk = {id: string; object?: string; created?: number; model?: string; choices: ChunkChoice[]; usage?: CompletionUsage | null};

/** Follows one generation of one request over one or more connections. */
export class ChunkReader {
	/** Offset of the next chunk. */
	next = 0;
	/** Whether the end marker arrived. */
	isDone = false;
	private readonly unfinished = new Set<number>();
	private hasChoice = false;

	constructor(readonly requestId: RequestId, private readonly metrics: RequestMetrics) {}

	/**
	 * Returns the chunk in parsed form, or nothing when it is dropped or the end marker.
	 * Throws `streamBroken` on a gap and on an end marker before the end.
	 */
	accept(chunk: EngineChunk): WireChunk | undefined {
		if (chunk.isEnd) {
			this.finish(chunk.offset);
			return undefined;
		}

		const data = parseChunk(chunk.data);
		if (data.id !== this.requestId) {
			this.metrics.droppedChunks.inc({reason: 'crossed'});
			return undefined;
		}

		if (chunk.offset < this.next) {
			this.metrics.droppedChunks.inc({reason: 'duplicated'});
			return undefined;
		}

		this.checkOffset(chunk.offset);
		this.next += 1;
		this.noteChoices(data.choices);
		return data;
	}

	/** The end marker names no request, so it counts only where every choice has been finished. */
	private finish(offset: number): void {
		this.checkOffset(offset);
		if (!this.hasChoice || this.unfinished.size > 0) {
			throw createRouterError('streamBroken', `the end marker came before the end, at chunk ${offset}`);
		}

		this.isDone = true;
	}

	private checkOffset(offset: number): void {
		if (offset !== this.next) {
			throw createRouterError('streamBroken', `expected chunk ${this.next} and got ${offset}`);
		}
	}

	private noteChoices(choices: readonly ChunkChoice[]): void {
		for (const choice of choices) {
			this.hasChoice = true;
			if (choice.finish_reason === undefined || choice.finish_reason === null) {
				this.unfinished.add(choice.index);
			} else {
				this.unfinished.delete(choice.index);
			}
		}
	}
}

function parseChunk(text: string): WireChunk {
	let data: Partial<WireChunk> | undefined;
	try {
		data = JSON.parse(text) as Partial<WireChunk>;
	} catch {
		// Reported below together with chunks of a wrong shape.
	}

	if (typeof data !== 'object' || data === null || !Array.isArray(data.choices)) {
		throw createRouterError('streamBroken', 'a chunk is not in the published format');
	}

	return data as WireChunk;
}
