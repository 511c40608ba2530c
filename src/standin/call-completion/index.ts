/** Requests completions in the public format and checks the format of event streams, for tests and benchmarks. */

import {request, type Dispatcher} from 'undici';
import VError from 'verror';

/** A completion request. */
export type CompletionQuery = {
	readonly address: string;
	readonly secret?: string;
	readonly prompt: string;
	readonly isChat?: boolean;
	readonly isStreamed?: boolean;
	readonly model?: string;
	readonly maximumTokens?: number;
	readonly body?: Readonly<Record<string, unknown>>;
	readonly headers?: Readonly<Record<string, string>>;
	/** Number of chunks after which the caller disconnects. */
	readonly disconnectAfterChunks?: number;
	readonly dispatcher?: Dispatcher;
};

/** An error in the public format. */
export type CompletionError = {readonly message: string; readonly type: string; readonly code: number; readonly not_run?: true};

/** The response as the caller sees it. */
export type CompletionOutcome = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly text: string;
	/** Whether the end marker of a stream, or a whole body with status 200, was received. */
	readonly isComplete: boolean;
	readonly error?: CompletionError;
	/** Parsed chunks of a stream, or the single parsed body. */
	readonly parts: readonly CompletionPayload[];
};

/** A chunk of a stream, or a whole response body. */
export type CompletionPayload = {
	readonly id: string;
	readonly object: string;
	readonly created: number;
	readonly model: string;
	readonly choices: ReadonlyArray<{
		readonly text?: string;
		readonly delta?: {readonly role?: string; readonly content?: string};
		readonly message?: {readonly role: string; readonly content: string};
		readonly finish_reason: string | null;
	}>;
	readonly usage?: {readonly prompt_tokens: number; readonly completion_tokens: number; readonly total_tokens: number} | null;
	readonly error?: CompletionError;
};

/** Sends a completion request and reads its response. Rejects when the connection breaks. */
export async function callCompletion(query: CompletionQuery): Promise<CompletionOutcome> {
	const {address, prompt, isChat = false, isStreamed = true} = query;
	const response = await request(`http://${address}/v1/${isChat ? 'chat/completions' : 'completions'}`, {
		method: 'POST',
		dispatcher: query.dispatcher,
		headers: {
			'content-type': 'application/json', ...(query.secret !== undefined && {authorization: `Bearer ${query.secret}`}), ...query.headers,
		},
		body: JSON.stringify({
			model: query.model ?? 'assistant', ...(isChat ? {messages: [{role: 'user', content: prompt}]} : {prompt}),
			stream: isStreamed, max_tokens: query.maximumTokens ?? 6, ...query.body,
		}),
	});
	const {statusCode: status, headers} = response;
	if (String(headers['content-type']).startsWith('text/event-stream')) {
		const {parts, isComplete} = await readEvents(response.body, query.disconnectAfterChunks ?? Number.POSITIVE_INFINITY);
		return {
			status, headers, parts, isComplete, text: joinText(parts), error: parts.find(payload => payload.error !== undefined)?.error,
		};
	}

	const body = await response.body.json() as CompletionPayload;
	return {
		status, headers, parts: [body], isComplete: status === 200, text: status === 200 ? joinText([body]) : '', error: body.error,
	};
}

async function readEvents(body: Dispatcher.ResponseData['body'], maximumChunks: number): Promise<{parts: CompletionPayload[]; isComplete: boolean}> {
	const parts: CompletionPayload[] = [];
	let incompleteEvent = '';
	let isComplete = false;
	body.setEncoding('utf8');
	for await (const text of body) {
		const events = (incompleteEvent + (text as string)).split('\n\n');
		incompleteEvent = events.pop() ?? '';
		for (const event of events) {
			if (isComplete || !event.startsWith('data: ')) {
				throw new VError('unexpected event "%s"', event);
			}

			const data = event.slice('data: '.length);
			if (data === '[DONE]') {
				isComplete = true;
			} else {
				parts.push(JSON.parse(data) as CompletionPayload);
			}
		}

		if (parts.length >= maximumChunks) {
			body.destroy();
			break;
		}
	}

	return {parts, isComplete};
}

function joinText(payloads: readonly CompletionPayload[]): string {
	return payloads
		.flatMap(payload => payload.choices ?? [])
		.map(choice => choice.text ?? choice.delta?.content ?? choice.message?.content ?? '')
		.join('');
}
