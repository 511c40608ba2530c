/**
 * Writes the chunks of one response to its sink. Where an earlier attempt has already written a part, the chunks of the present
 * one are compared with it instead, so that two generations never mix in one response.
 */

import type {RequestId} from '../../identity/ids/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';
import type {WireChunk} from '../read-chunks/index.js';
import type {RequestMetrics} from '../request-metrics/index.js';

/** Destination of a completion's chunks. */
export type CompletionSink = {
	/** Whether any part of the response was sent to the caller, so that it cannot be discarded. */
	readonly hasSent: boolean;
	/** Writes the next chunk. A returned promise resolves when the caller can receive more. */
	write(chunk: WireChunk): Promise<void> | undefined;
	/** Discards the chunks written so far. Called only while nothing was sent. */
	reset(): void;
};

/** A chunk of the present attempt. */
export type GeneratedChunk = {
	readonly data: WireChunk;
	/** Position in the response, from 0. */
	readonly offset: number;
	/** Whether another attempt generates the same chunk. */
	readonly isDeterministic: boolean;
};

/** What of one response has been written. */
export class ResponseWriter {
	/** Whether an attempt generated another response than the part already written. */
	hasMismatch = false;
	/** Choices of each chunk written so far as JSON. Kept only for deterministic models. */
	private readonly writtenChoices: string[] = [];
	private writtenChunkCount = 0;
	/** Engine request that generated the last chunk written. */
	private writtenRequestId: RequestId | undefined;

	constructor(private readonly sink: CompletionSink, private readonly metrics: RequestMetrics) {}

	/** Whether any part of the response was sent to the caller. */
	get hasSent(): boolean {
		return this.sink.hasSent;
	}

	/** Writes a chunk to the sink. If an earlier attempt already wrote the chunk at this offset, compares the two instead. */
	write({data, offset, isDeterministic}: GeneratedChunk): Promise<void> | undefined {
		const choices = isDeterministic ? JSON.stringify(data.choices) : '';
		if (offset < this.writtenChunkCount) {
			if (this.writtenChoices[offset] !== choices) {
				this.hasMismatch = true;
				throw createRouterError('answerMismatch', 'the regenerated response differs from the part already written; the model is not deterministic');
			}

			this.writtenRequestId = data.id as RequestId;
			return undefined;
		}

		this.metrics.checkInvariant('contiguousOffsets', offset === this.writtenChunkCount);
		this.metrics.checkInvariant('oneGeneration', this.writtenRequestId === undefined || this.writtenRequestId === data.id);
		this.writtenRequestId = data.id as RequestId;
		this.writtenChunkCount += 1;
		if (isDeterministic) {
			this.writtenChoices.push(choices);
		}

		return this.sink.write(data);
	}

	/** Prepares another attempt: discards what was written, unless a part was already sent to the caller. */
	resetForRetry(): void {
		if (this.writtenChunkCount > 0) {
			this.metrics.restarts.inc();
		}

		if (!this.sink.hasSent) {
			this.sink.reset();
			this.writtenChoices.length = 0;
			this.writtenChunkCount = 0;
			this.writtenRequestId = undefined;
		}
	}
}
