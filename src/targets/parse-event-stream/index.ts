/** Parser of server-sent events. */

import {createRouterError} from '../../results/create-router-error/index.js';

/** One server-sent event. */
export type ServerSentEvent = {readonly id: string | undefined; readonly data: string};

/** Longest event, in characters. A stream without blank lines would otherwise fill the memory. */
const longestEvent = 4_000_000;

/**
 * Yields the events of `body` as they become complete. A last event without its blank line is dropped.
 * Throws `streamBroken` on an event that is too long.
 */
export async function * parseEventStream(body: AsyncIterable<Uint8Array>): AsyncGenerator<ServerSentEvent> {
	const decoder = new TextDecoder();
	let rest = '';
	for await (const chunk of body) {
		const text = decoder.decode(chunk, {stream: true});
		// Some servers end lines with a carriage return as well.
		rest += text.includes('\r') ? text.replaceAll('\r', '') : text;
		let end = rest.indexOf('\n\n');
		while (end !== -1) {
			yield parseEvent(rest.slice(0, end));
			rest = rest.slice(end + 2);
			end = rest.indexOf('\n\n');
		}

		if (rest.length > longestEvent) {
			throw createRouterError('streamBroken', 'an event is too long');
		}
	}
}

function parseEvent(text: string): ServerSentEvent {
	let id: string | undefined;
	const data: string[] = [];
	for (const line of text.split('\n')) {
		if (line.startsWith('data:')) {
			data.push(line.slice(5).trimStart());
		} else if (line.startsWith('id:')) {
			id = line.slice(3).trim();
		}
	}

	return {id, data: data.join('\n')};
}
