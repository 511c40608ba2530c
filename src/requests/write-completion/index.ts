/** Writes a completion to the caller in the public API format, either streamed or as one JSON response. */

import {randomUUID} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import {createRouterError} from '../../results/create-router-error/index.js';
import {sendJson} from '../../http/send-json/index.js';
import {waitForDrain} from '../../http/wait-for-drain/index.js';
import type {CompletionSink} from '../response-writer/index.js';
import type {CompletionRequest} from '../parse-completion-request/index.js';
import type {ChunkChoice, CompletionUsage, WireChunk} from '../read-chunks/index.js';
import type {RequestMetrics} from '../request-metrics/index.js';

const msPerSecond = 1000;

/** Fields that are the same in all chunks of a response, whichever engine generates them. */
export type CompletionIdentity = {readonly id: string; readonly created: number; readonly model: string; readonly isChat: boolean};

/** Creates the identity of the response to `request` at wall-clock time `nowMs`. */
export function createCompletionIdentity(request: CompletionRequest, nowMs: number): CompletionIdentity {
	const isChat = request.path === '/v1/chat/completions';
	return {
		id: `${isChat ? 'chatcmpl' : 'cmpl'}-${randomUUID()}`, created: Math.floor(nowMs / msPerSecond), model: request.modelName, isChat,
	};
}

/** Options of a `StreamSink`. */
export type StreamSinkOptions = {
	readonly response: ServerResponse;
	readonly identity: CompletionIdentity;
	readonly metrics: RequestMetrics;
	/** Whether the caller requested a final chunk with the usage. */
	readonly includesUsage: boolean;
	/** Maximum wait for the caller to read written data, after which it is disconnected. */
	readonly stallTimeoutMs: number;
};

/** Streams a response as server-sent events. */
export class StreamSink implements CompletionSink {
	hasSent = false;
	usage: CompletionUsage | undefined;
	/** Number of chunks with choices so far. */
	generatedChunkCount = 0;
	private hasSentRole = false;
	private isCorked = false;

	constructor(private readonly options: StreamSinkOptions) {}

	write(chunk: WireChunk): Promise<void> | undefined {
		this.usage = chunk.usage ?? this.usage;
		if (chunk.choices.length > 0) {
			this.generatedChunkCount += 1;
		} else if (!this.options.includesUsage) {
			return undefined;
		}

		return this.sendText(`data: ${JSON.stringify(this.formatChunk(chunk))}\n\n`);
	}

	reset(): void {
		this.generatedChunkCount = 0;
		this.usage = undefined;
	}

	/** Sends the end marker. */
	end(): void {
		this.options.response.end('data: [DONE]\n\n');
	}

	private formatChunk(chunk: WireChunk): WireChunk {
		const {identity, includesUsage} = this.options;
		const {usage, ...chunkFields} = chunk;
		if (identity.isChat && !this.hasSentRole) {
			this.hasSentRole = true;
			addRole(chunkFields.choices);
		}

		return {
			...chunkFields, id: identity.id, object: identity.isChat ? 'chat.completion.chunk' : 'text_completion',
			created: identity.created, model: identity.model,
			...(includesUsage && {usage: chunk.choices.length === 0 ? usage ?? null : null}),
		};
	}

	private sendText(text: string): Promise<void> | undefined {
		const {response, metrics} = this.options;
		if (response.destroyed) {
			throw createRouterError('streamBroken', 'the caller closed the connection');
		}

		if (!response.headersSent) {
			response.writeHead(200, {'content-type': 'text/event-stream; charset=utf-8', 'cache-control': 'no-cache'});
		}

		this.hasSent = true;
		this.corkWrites();
		metrics.chunks.inc();
		return response.write(text) ? undefined : waitForDrain(response, this.options.stallTimeoutMs);
	}

	/** Batches chunks that arrive in one read from the engine into one write to the caller. Delays no chunk beyond the current tick. */
	private corkWrites(): void {
		const {response} = this.options;
		if (!this.isCorked) {
			this.isCorked = true;
			response.cork();
			process.nextTick(() => {
				this.isCorked = false;
				response.uncork();
			});
		}
	}
}

/** Buffers a response and sends it as one JSON body. */
export class BufferedSink implements CompletionSink {
	usage: CompletionUsage | undefined;
	generatedChunkCount = 0;
	private readonly choices = new Map<number, {textParts: string[]; finishReason: string | null}>();

	/** Always false, since nothing is sent before the response is complete. */
	get hasSent(): boolean {
		return false;
	}

	write(chunk: WireChunk): undefined {
		this.usage = chunk.usage ?? this.usage;
		this.generatedChunkCount += chunk.choices.length > 0 ? 1 : 0;
		for (const choice of chunk.choices) {
			const collected = this.choices.get(choice.index) ?? {textParts: [], finishReason: null};
			collected.textParts.push(choice.text ?? choice.delta?.content ?? '');
			collected.finishReason = choice.finish_reason ?? collected.finishReason;
			this.choices.set(choice.index, collected);
		}

		return undefined;
	}

	reset(): void {
		this.choices.clear();
		this.generatedChunkCount = 0;
		this.usage = undefined;
	}

	/** Sends the buffered response. */
	end(response: ServerResponse, identity: CompletionIdentity): void {
		const choices = [...this.choices].toSorted(([a], [b]) => a - b).map(([index, {textParts, finishReason}]) => ({
			index,
			...(identity.isChat ? {message: {role: 'assistant', content: textParts.join('')}} : {text: textParts.join('')}),
			logprobs: null,
			finish_reason: finishReason,
		}));
		sendJson(response, 200, {
			id: identity.id, object: identity.isChat ? 'chat.completion' : 'text_completion', created: identity.created, model: identity.model,
			choices, usage: this.usage,
		});
	}
}

/** Adds the role, which the first chunk of a chat response must name even if the engine omits it. */
function addRole(choices: readonly ChunkChoice[]): void {
	for (const choice of choices) {
		choice.delta = {role: 'assistant', ...choice.delta};
	}
}
