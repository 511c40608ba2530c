/** Validates a completion request and extracts the fields that routing needs. */

import {z} from 'zod';
import {createRouterError} from '../../results/create-router-error/index.js';
import {formatIssues} from '../../resources/parse-resource/index.js';

/** Limit on generated tokens when the request sets none. */
export const defaultMaximumTokens = 256;
const maximumTokensLimit = 1_000_000;

const maximumTokensSchema = z.number().int().min(1).max(maximumTokensLimit).optional();
const contentSchema = z.union([z.string(), z.array(z.looseObject({type: z.string(), text: z.string().optional()}))]);
const streamOptionsSchema = z.looseObject({include_usage: z.boolean().optional()}).nullish();
const chatSchema = z.looseObject({
	model: z.string().min(1),
	messages: z.array(z.looseObject({role: z.string(), content: contentSchema.nullish()})).min(1),
	stream: z.boolean().nullish().transform(stream => stream ?? false),
	stream_options: streamOptionsSchema,
	max_tokens: maximumTokensSchema,
	max_completion_tokens: maximumTokensSchema,
});
const completionSchema = z.looseObject({
	model: z.string().min(1),
	prompt: z.string(),
	stream: z.boolean().nullish().transform(stream => stream ?? false),
	stream_options: streamOptionsSchema,
	max_tokens: maximumTokensSchema,
});

/** A validated completion request. */
export type CompletionRequest = {
	readonly path: '/v1/completions' | '/v1/chat/completions';
	readonly modelName: string;
	readonly isStreamed: boolean;
	/** Whether a streamed response ends with a chunk that contains the usage. */
	readonly includesUsage: boolean;
	readonly maximumTokens: number;
	/** Full text of the prompt in order, from which prefix keys are computed. */
	readonly promptText: string;
	/** Body sent by the caller. */
	readonly body: Readonly<Record<string, unknown>>;
};

/** Parses the body of a completion request. Throws `malformedRequest` with field and reason if it is invalid. */
export function parseCompletionRequest(path: CompletionRequest['path'], body: unknown): CompletionRequest {
	if (path === '/v1/completions') {
		const parsed = checkBody(completionSchema, body);
		return {
			path, modelName: parsed.model, isStreamed: parsed.stream, includesUsage: parsed.stream_options?.include_usage ?? false,
			maximumTokens: parsed.max_tokens ?? defaultMaximumTokens,
			promptText: parsed.prompt, body: parsed,
		};
	}

	const parsed = checkBody(chatSchema, body);
	return {
		path, modelName: parsed.model, isStreamed: parsed.stream, includesUsage: parsed.stream_options?.include_usage ?? false,
		maximumTokens: parsed.max_completion_tokens ?? parsed.max_tokens ?? defaultMaximumTokens,
		promptText: parsed.messages.map(message => formatChatMessage(message.role, message.content)).join(''),
		body: parsed,
	};
}

function checkBody<Output>(schema: z.ZodType<Output>, body: unknown): Output {
	const result = schema.safeParse(body);
	if (!result.success) {
		throw createRouterError('malformedRequest', formatIssues(result.error));
	}

	return result.data;
}

/** Formats a chat message as engines do before tokenisation. */
export function formatChatMessage(role: string, content: z.infer<typeof contentSchema> | null | undefined): string {
	const text = typeof content === 'string' ? content : (content ?? []).map(contentPart => contentPart.text ?? '').join('');
	return `<${role}>\n${text}\n`;
}
