/** Parser of server-sent events. */

import {createRouterError} from '../../results/create-router-error/index.js';

/** One server-sent event. */
export type ServerSentEvent = {readonly id: string | undefined; readonly data: string};

/** Maximum length of an event. A stream without blank lines would otherwise exhaust the memory. */
const maximumEventCharacters = 4_000_000;

/**
 * Yields the events of `body` as they become complete. A last event without a blank line is dropped.
 * Throws `streamBroken` if an event is too long.
 */
export async function * parseEventStream(body: AsyncIterable<Uint8Array>): AsyncGenerator<ServerSentEvent> {
	const decoder = new TextDecoder();
	let buffer = '';
	for await (const chunk of body) {
		const text = decoder.decode(chunk, {stream: true});
		// Some servers end lines with a carriage return as well.
		buffer += text.includes('\r') ? text.replaceAll('\r', '') : text;
		let end = buffer.indexOf('\n\n');
		while (end !== -1) {
			yield parseEvent(buffer.slice(0, end));
			buffer = buffer.slice(end + 2);
			end = buffer.indexOf('\n\n');
		}

		if (buffer.length > maximumEventCharacters) {
			throw createRouterError('streamBroken', 'a server-sent event exceeds the maximum length');
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
