/** A caller of completions in the published format, for tests and measurements. It checks what a caller can see of an answer. */

import {request, type Dispatcher} from 'undici';
import VError from 'verror';

/** One completion to ask for. */
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
	/** Stops reading after this many chunks, as a caller that disconnects does. */
	readonly disconnectAfterChunks?: number;
	readonly dispatcher?: Dispatcher;
};

/** An error in the published shape. */
export type CompletionError = {readonly message: string; readonly type: string; readonly code: number; readonly not_run?: true};

/** What the caller saw. */
export type CompletionOutcome = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly text: string;
	/** Whether the answer carried its end: the end marker of a stream, or the whole body. */
	readonly isComplete: boolean;
	readonly error?: CompletionError;
	/** Parsed chunks of a stream, or the one answer. */
	readonly parts: readonly CompletionPart[];
};

/** A chunk of a stream, or a whole answer. */
export type CompletionPart = {
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

/** Sends one completion and reads its answer. Rejects when the connection breaks. */
export async function callCompletion(query: CompletionQuery): Promise<CompletionOutcome> {
	const {address, prompt, isChat = false, isStreamed = true} = query;
	const answer = await request(`http://${address}/v1/${isChat ? 'chat/completions' : 'completions'}`, {
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
	const {statusCode: status, headers} = answer;
	if (String(headers['content-type']).startsWith('text/event-stream')) {
		const {parts, isComplete} = await readEvents(answer.body, query.disconnectAfterChunks ?? Number.POSITIVE_INFINITY);
		return {
			status, headers, parts, isComplete, text: joinText(parts), error: parts.find(part => part.error !== undefined)?.error,
		};
	}

	const body = await answer.body.json() as CompletionPart;
	return {
		status, headers, parts: [body], isComplete: status === 200, text: status === 200 ? joinText([body]) : '', error: body.error,
	};
}

async function readEvents(body: Dispatcher.ResponseData['body'], limit: number): Promise<{parts: CompletionPart[]; isComplete: boolean}> {
	const parts: CompletionPart[] = [];
	let rest = '';
	let isComplete = false;
	body.setEncoding('utf8');
	for await (const text of body) {
		const events = (rest + (text as string)).split('\n\n');
		rest = events.pop() ?? '';
		for (const event of events) {
			if (isComplete || !event.startsWith('data: ')) {
				throw new VError('unexpected event "%s"', event);
			}

			const data = event.slice('data: '.length);
			if (data === '[DONE]') {
				isComplete = true;
			} else {
				parts.push(JSON.parse(data) as CompletionPart);
			}
		}

		if (parts.length >= limit) {
			body.destroy();
			break;
		}
	}

	return {parts, isComplete};
}

function joinText(parts: readonly CompletionPart[]): string {
	return parts
		.flatMap(part => part.choices ?? [])
		.map(choice => choice.text ?? choice.delta?.content ?? choice.message?.content ?? '')
		.join('');
}
