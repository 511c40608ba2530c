/** Sends a stream of the stand-in engine as server-sent events, with the faults that are switched on. */

import type {ServerResponse} from 'node:http';
import type {Incarnation} from '../../identity/ids/index.js';
import {takeFault, type EngineFaults} from '../engine-faults/index.js';
import type {EngineStream} from '../engine-simulator/index.js';

/** How a stream is sent on one connection. */
export type EngineStreamOptions = {
	/** First chunk to send. */
	readonly offset: number;
	readonly incarnation: Incarnation;
	readonly faults: EngineFaults;
};

const otherRequestId = 'another-request';
const earlierRequestId = 'earlier-request';

/** Sends the chunks from `offset`, the first one only when its token is there, then a chunk with the usage and the end marker. */
export function sendEngineStream(stream: EngineStream, options: EngineStreamOptions, response: ServerResponse): void {
	const connection = new EngineStreamConnection(stream, options, response);
	const advance = () => {
		connection.advance();
	};

	stream.listeners.add(advance);
	response.on('drain', advance);
	response.once('close', () => {
		stream.listeners.delete(advance);
	});
	advance();
}

/** One connection that carries a stream. */
class EngineStreamConnection {
	private next: number;
	private readonly breakAfter: number;
	private readonly silentAfter: number;
	private isEnded = false;

	constructor(private readonly stream: EngineStream, private readonly options: EngineStreamOptions, private readonly response: ServerResponse) {
		const {faults, offset} = options;
		this.next = offset;
		this.breakAfter = takeFault(faults, 'breaks') ? 1 : faults.breakAfterChunks ?? Number.POSITIVE_INFINITY;
		this.silentAfter = takeFault(faults, 'silences') ? 1 : faults.silentAfterChunks ?? Number.POSITIVE_INFINITY;
	}

	/** Sends what has been generated since the last call. */
	advance(): void {
		const {stream, response} = this;
		if (this.isEnded) {
			return;
		}

		while (this.next < stream.tokens.length) {
			if (response.writableNeedDrain || this.next - this.options.offset >= this.silentAfter) {
				return;
			}

			this.sendHeaders();
			this.sendToken(this.next);
			this.next += 1;
			if (this.next - this.options.offset === this.breakAfter) {
				this.isEnded = true;
				// The chunks written in this turn are flushed first.
				setImmediate(() => {
					response.destroy();
				});
				return;
			}

			if (takeFault(this.options.faults, 'earlyEnds')) {
				this.isEnded = true;
				response.end(`id: ${this.next}\ndata: [DONE]\n\n`);
				return;
			}
		}

		if (stream.isDone) {
			this.isEnded = true;
			this.sendHeaders();
			const hasUsage = !stream.isCancelled && this.next === stream.tokens.length;
			const usage = hasUsage ? formatEvent(this.next, formatUsage(stream)) : '';
			response.end(`${usage}id: ${this.next + (hasUsage ? 1 : 0)}\ndata: [DONE]\n\n`);
		}
	}

	private sendToken(index: number): void {
		const {faults} = this.options;
		const requestId = this.stream.job.requestId as string;
		if (takeFault(faults, 'crossedChunks')) {
			this.response.write(formatEvent(index, formatChunk(this.stream, index, otherRequestId)));
			return;
		}

		const late = takeFault(faults, 'lateChunks') ? formatEvent(index, formatChunk(this.stream, index, earlierRequestId)) : '';
		const event = formatEvent(index, formatChunk(this.stream, index, requestId));
		this.response.write(late + event + (takeFault(faults, 'duplicatedChunks') ? event : ''));
	}

	private sendHeaders(): void {
		if (!this.response.headersSent) {
			this.response.writeHead(200, {
				'content-type': 'text/event-stream',
				'x-request-id': takeFault(this.options.faults, 'crossedAnswers') ? otherRequestId : this.stream.job.requestId,
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
