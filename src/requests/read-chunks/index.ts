/** Validates the chunks of one generation: they must belong to the request, follow each other without a gap, and end only when all choices are finished. */

import {createRouterError} from '../../results/create-router-error/index.js';
import type {RequestId} from '../../identity/ids/index.js';
import type {EngineChunk} from '../../targets/engine-client/index.js';
import type {RequestMetrics} from '../request-metrics/index.js';

/** One choice of a chunk in the public API format. */
export type ChunkChoice = {
	index: number;
	text?: string;
	delta?: {role?: string; content?: string | null; tool_calls?: unknown[]};
	finish_reason?: string | null;
};

/** Token counts in the public API format. */
export type CompletionUsage = {prompt_tokens: number; completion_tokens: number; total_tokens: number};

/** A chunk in the public API format. */
export type WireChunk = {id: string; object?: string; created?: number; model?: string; choices: ChunkChoice[]; usage?: CompletionUsage | null};

/** Validates the stream of one engine request, which may be read over several connections. */
export class ChunkReader {
	/** Expected offset of the next chunk. */
	nextOffset = 0;
	/** Whether the end marker arrived. */
	isDone = false;
	private readonly unfinishedChoices = new Set<number>();
	private hasReceivedChoice = false;

	constructor(readonly requestId: RequestId, private readonly metrics: RequestMetrics) {}

	/**
	 * Returns the parsed chunk, or undefined for the end marker and for a chunk of another request or a duplicate.
	 * Throws `streamBroken` on a gap, on an invalid chunk and on a premature end marker.
	 */
	accept(chunk: EngineChunk): WireChunk | undefined {
		if (chunk.isEnd) {
			this.acceptEndMarker(chunk.offset);
			return undefined;
		}

		const data = parseChunk(chunk.data);
		if (data.id !== this.requestId) {
			this.metrics.droppedChunks.inc({reason: 'crossed'});
			return undefined;
		}

		if (chunk.offset < this.nextOffset) {
			this.metrics.droppedChunks.inc({reason: 'duplicated'});
			return undefined;
		}

		this.checkOffset(chunk.offset);
		this.nextOffset += 1;
		this.trackChoices(data.choices);
		return data;
	}

	/** Accepts the end marker only after every choice has finished, since the marker does not identify its request. */
	private acceptEndMarker(offset: number): void {
		this.checkOffset(offset);
		if (!this.hasReceivedChoice || this.unfinishedChoices.size > 0) {
			throw createRouterError('streamBroken', `end marker at offset ${offset} before all choices were finished`);
		}

		this.isDone = true;
	}

	private checkOffset(offset: number): void {
		if (offset !== this.nextOffset) {
			throw createRouterError('streamBroken', `expected chunk offset ${this.nextOffset}, got ${offset}`);
		}
	}

	private trackChoices(choices: readonly ChunkChoice[]): void {
		for (const choice of choices) {
			this.hasReceivedChoice = true;
			if (choice.finish_reason === undefined || choice.finish_reason === null) {
				this.unfinishedChoices.add(choice.index);
			} else {
				this.unfinishedChoices.delete(choice.index);
			}
		}
	}
}

function parseChunk(text: string): WireChunk {
	let data: Partial<WireChunk> | undefined;
	try {
		data = JSON.parse(text) as Partial<WireChunk>;
	} catch {
		// Handled below, together with valid JSON that is not a chunk.
	}

	if (typeof data !== 'object' || data === null || !Array.isArray(data.choices)) {
		throw createRouterError('streamBroken', 'a chunk is not in the public API format');
	}

	return data as WireChunk;
}
