/** Writes a completion to the caller in the published format, streamed or as one JSON answer. */

import {randomUUID} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import {createRouterError} from '../../results/create-router-error/index.js';
import {sendJson} from '../../http/send-json/index.js';
import type {AnswerSink} from '../completion-exchange/index.js';
import type {CompletionRequest} from '../parse-completion-request/index.js';
import type {ChunkChoice, CompletionUsage, WireChunk} from '../read-chunks/index.js';
import type {RequestMetrics} from '../request-metrics/index.js';

const msPerSecond = 1000;

/** What is the same in all chunks of an answer, whichever engine generates it. */
export type AnswerIdentity = {readonly id: string; readonly created: number; readonly model: string; readonly isChat: boolean};

/** Creates the identity of the answer to `request` at wall time `nowMs`. */
export function createAnswerIdentity(request: CompletionRequest, nowMs: number): AnswerIdentity {
	const isChat = request.path === '/v1/chat/completions';
	return {
		id: `${isChat ? 'chatcmpl' : 'cmpl'}-${randomUUID()}`, created: Math.floor(nowMs / msPerSecond), model: request.modelName, isChat,
	};
}

/** Options of a `StreamSink`. */
export type StreamSinkOptions = {
	readonly response: ServerResponse;
	readonly identity: AnswerIdentity;
	readonly metrics: RequestMetrics;
	/** Whether the caller asked for a last chunk with the usage. */
	readonly includesUsage: boolean;
	/** Longest time that the caller may take no byte, in milliseconds. */
	readonly stallMs: number;
};

/** Streams an answer as server-sent events. */
export class StreamSink implements AnswerSink {
	hasSent = false;
	usage: CompletionUsage | undefined;
	/** Chunks with choices so far. */
	generated = 0;
	private hasRole = false;
	private isCorked = false;

	constructor(private readonly options: StreamSinkOptions) {}

	write(chunk: WireChunk): Promise<void> | undefined {
		this.usage = chunk.usage ?? this.usage;
		if (chunk.choices.length > 0) {
			this.generated += 1;
		} else if (!this.options.includesUsage) {
			return undefined;
		}

		return this.send(`data: ${JSON.stringify(this.format(chunk))}\n\n`);
	}

	reset(): void {
		this.generated = 0;
		this.usage = undefined;
	}

	/** Sends the end marker. */
	end(): void {
		this.options.response.end('data: [DONE]\n\n');
	}

	private format(chunk: WireChunk): WireChunk {
		const {identity, includesUsage} = this.options;
		const {usage, ...rest} = chunk;
		if (identity.isChat && !this.hasRole) {
			this.hasRole = true;
			addRole(rest.choices);
		}

		return {
			...rest, id: identity.id, object: identity.isChat ? 'chat.completion.chunk' : 'text_completion',
			created: identity.created, model: identity.model,
			...(includesUsage && {usage: chunk.choices.length === 0 ? usage ?? null : null}),
		};
	}

	private send(text: string): Promise<void> | undefined {
		const {response, metrics} = this.options;
		if (response.destroyed) {
			throw createRouterError('streamBroken', 'the caller closed the connection');
		}

		if (!response.headersSent) {
			response.writeHead(200, {'content-type': 'text/event-stream; charset=utf-8', 'cache-control': 'no-cache'});
		}

		this.hasSent = true;
		this.collectWrites();
		metrics.chunks.inc();
		return response.write(text) ? undefined : waitForDrain(response, this.options.stallMs);
	}

	/** Joins the chunks of one read from the engine into one write to the caller; chunks that come alone are not held back. */
	private collectWrites(): void {
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

/** Collects an answer into one JSON body. */
export class WholeSink implements AnswerSink {
	usage: CompletionUsage | undefined;
	generated = 0;
	private readonly choices = new Map<number, {texts: string[]; finishReason: string | null}>();

	/** Nothing is sent before the answer is whole. */
	get hasSent(): boolean {
		return false;
	}

	write(chunk: WireChunk): undefined {
		this.usage = chunk.usage ?? this.usage;
		this.generated += chunk.choices.length > 0 ? 1 : 0;
		for (const choice of chunk.choices) {
			const collected = this.choices.get(choice.index) ?? {texts: [], finishReason: null};
			collected.texts.push(choice.text ?? choice.delta?.content ?? '');
			collected.finishReason = choice.finish_reason ?? collected.finishReason;
			this.choices.set(choice.index, collected);
		}

		return undefined;
	}

	reset(): void {
		this.choices.clear();
		this.generated = 0;
		this.usage = undefined;
	}

	/** Sends the collected answer. */
	end(response: ServerResponse, identity: AnswerIdentity): void {
		const choices = [...this.choices].toSorted(([a], [b]) => a - b).map(([index, {texts, finishReason}]) => ({
			index,
			...(identity.isChat ? {message: {role: 'assistant', content: texts.join('')}} : {text: texts.join('')}),
			logprobs: null,
			finish_reason: finishReason,
		}));
		sendJson(response, 200, {
			id: identity.id, object: identity.isChat ? 'chat.completion' : 'text_completion', created: identity.created, model: identity.model,
			choices, usage: this.usage,
		});
	}
}

/** The first chunk of a chat answer names the role, also when an engine leaves it out. */
function addRole(choices: readonly ChunkChoice[]): void {
	for (const choice of choices) {
		choice.delta = {role: 'assistant', ...choice.delta};
	}
}

/** Waits until the caller has taken what was written; disconnects a caller that takes nothing for `stallMs`. */
async function waitForDrain(response: ServerResponse, stallMs: number): Promise<void> {
	if (response.destroyed) {
		throw createRouterError('streamBroken', 'the caller closed the connection');
	}

	await new Promise<void>(resolve => {
		const timer = setTimeout(() => {
			response.destroy();
		}, stallMs);
		const finish = () => {
			clearTimeout(timer);
			response.off('drain', finish);
			response.off('close', finish);
			resolve();
		};

		response.on('drain', finish);
		response.on('close', finish);
	});
	if (response.destroyed) {
		throw createRouterError('streamBroken', 'the caller closed the connection');
	}
}
