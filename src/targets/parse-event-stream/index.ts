/** Parser of server-sent events. */

import {createRouterError} from '../../results/create-router-error/index.js';
import {EventBuffer} from '../../streams/event-buffer/index.js';

/** One server-sent event. */
export type ServerSentEvent = {readonly id: string | undefined; readonly data: string};

/** Maximum size of an event, in bytes. */
const maximumEventBytes = 4_000_000;

/**
 * Yields the events of `body` as they become complete. A last event without a blank line is dropped.
 * Throws `streamBroken` if an event is too large.
 */
export async function * parseEventStream(body: AsyncIterable<Uint8Array>): AsyncGenerator<ServerSentEvent> {
	const buffer = new EventBuffer(maximumEventBytes);
	for await (const chunk of body) {
		for (const event of addChunk(buffer, Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength))) {
			yield parseEvent(event.toString('utf8'));
		}
	}
}

function addChunk(buffer: EventBuffer, chunk: Buffer): Buffer[] {
	try {
		return buffer.add(chunk);
	} catch (error) {
		throw createRouterError('streamBroken', (error as Error).message, {cause: error as Error});
	}
}

function parseEvent(text: string): ServerSentEvent {
	let id: string | undefined;
	const data: string[] = [];
	for (const line of text.split(/\r?\n/u)) {
		if (line.startsWith('data:')) {
			data.push(line.slice(5).trimStart());
		} else if (line.startsWith('id:')) {
			id = line.slice(3).trim();
		}
	}

	return {id, data: data.join('\n')};
}
