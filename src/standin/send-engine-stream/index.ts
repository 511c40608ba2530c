/** Sends a stream of the stand-in engine as server-sent events, with the active faults. */

import type {ServerResponse} from 'node:http';
import type {Incarnation} from '../../identity/ids/index.js';
import {consumeFault, type EngineFaults} from '../engine-faults/index.js';
import type {EngineStream} from '../engine-simulator/index.js';

/** Options of sending a stream on one connection. */
export type EngineStreamOptions = {
	/** Index of the first chunk to send. */
	readonly offset: number;
	readonly incarnation: Incarnation;
	readonly faults: EngineFaults;
};

const otherRequestId = 'another-request';
const earlierRequestId = 'earlier-request';

/**
 * Sends the chunks from `offset` as their tokens are generated, then a chunk with the usage and the end
 * marker. The response headers are sent with the first of these.
 */
export function sendEngineStream(stream: EngineStream, options: EngineStreamOptions, response: ServerResponse): void {
	const connection = new EngineStreamConnection(stream, options, response);
	const sendAvailable = () => {
		connection.sendAvailable();
	};

	stream.listeners.add(sendAvailable);
	response.on('drain', sendAvailable);
	response.once('close', () => {
		stream.listeners.delete(sendAvailable);
	});
	sendAvailable();
}

/** A connection on which a stream is sent. */
class EngineStreamConnection {
	private nextIndex: number;
	private readonly maximumChunksBeforeBreak: number;
	private readonly maximumChunksBeforeSilence: number;
	private hasEnded = false;

	constructor(private readonly stream: EngineStream, private readonly options: EngineStreamOptions, private readonly response: ServerResponse) {
		const {faults, offset} = options;
		this.nextIndex = offset;
		this.maximumChunksBeforeBreak = consumeFault(faults, 'breaks') ? 1 : faults.breakAfterChunks ?? Number.POSITIVE_INFINITY;
		this.maximumChunksBeforeSilence = consumeFault(faults, 'silences') ? 1 : faults.silentAfterChunks ?? Number.POSITIVE_INFINITY;
	}

	/** Sends the tokens generated since the last call. */
	sendAvailable(): void {
		const {stream, response} = this;
		if (this.hasEnded) {
			return;
		}

		while (this.nextIndex < stream.tokens.length) {
			if (response.writableNeedDrain || this.nextIndex - this.options.offset >= this.maximumChunksBeforeSilence) {
				return;
			}

			this.sendHeaders();
			this.sendChunk(this.nextIndex);
			this.nextIndex += 1;
			if (this.nextIndex - this.options.offset === this.maximumChunksBeforeBreak) {
				this.hasEnded = true;
				// Destroying the connection in this turn would discard the chunks just written.
				setImmediate(() => {
					response.destroy();
				});
				return;
			}

			if (consumeFault(this.options.faults, 'earlyEnds')) {
				this.hasEnded = true;
				response.end(`id: ${this.nextIndex}\ndata: [DONE]\n\n`);
				return;
			}
		}

		if (stream.isDone) {
			this.hasEnded = true;
			this.sendHeaders();
			const hasUsage = !stream.isCancelled && this.nextIndex === stream.tokens.length;
			const usage = hasUsage ? formatEvent(this.nextIndex, formatUsage(stream)) : '';
			response.end(`${usage}id: ${this.nextIndex + (hasUsage ? 1 : 0)}\ndata: [DONE]\n\n`);
		}
	}

	private sendChunk(index: number): void {
		const {faults} = this.options;
		const requestId = this.stream.job.requestId as string;
		if (consumeFault(faults, 'crossedChunks')) {
			this.response.write(formatEvent(index, formatChunk(this.stream, index, otherRequestId)));
			return;
		}

		const lateEvent = consumeFault(faults, 'lateChunks') ? formatEvent(index, formatChunk(this.stream, index, earlierRequestId)) : '';
		const event = formatEvent(index, formatChunk(this.stream, index, requestId));
		this.response.write(lateEvent + event + (consumeFault(faults, 'duplicatedChunks') ? event : ''));
	}

	private sendHeaders(): void {
		if (!this.response.headersSent) {
			this.response.writeHead(200, {
				'content-type': 'text/event-stream',
				'x-request-id': consumeFault(this.options.faults, 'crossedAnswers') ? otherRequestId : this.stream.job.requestId,
				'x-engine-incarnation': this.options.incarnation,
				'x-weights-version': this.stream.job.weightsVersion,
				'x-cached-tokens': String(this.stream.cachedTokens),
			});
		}
	}
}

function formatEvent(offset: number, data: unknown): string {
	return `id: ${offset}\ndata: ${JSON.stringify(data)}\n\n`;
}

function formatChunk(stream: EngineStream, index: number, requestId: string): unknown {
	const {job} = stream;
	const text = stream.tokens[index] ?? '';
	const choice = job.isChat
		? {index: 0, delta: index === 0 ? {role: 'assistant', content: text} : {content: text}}
		: {index: 0, text};
	return {
		id: requestId,
		object: job.isChat ? 'chat.completion.chunk' : 'text_completion',
		created: Math.floor(Date.now() / 1000),
		model: job.weightsVersion,
		choices: [{...choice, finish_reason: index === job.maximumTokens - 1 ? 'length' : null}],
	};
}

function formatUsage(stream: EngineStream): unknown {
	const {job} = stream;
	return {
		id: job.requestId,
		object: job.isChat ? 'chat.completion.chunk' : 'text_completion',
		created: Math.floor(Date.now() / 1000),
		model: job.weightsVersion,
		choices: [],
		usage: {
			prompt_tokens: job.promptTokens, completion_tokens: stream.tokens.length, total_tokens: job.promptTokens + stream.tokens.length,
			prompt_tokens_details: {cached_tokens: stream.cachedTokens},
		},
	};
}
