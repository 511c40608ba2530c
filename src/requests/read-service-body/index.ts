/** Reads the body of a service's response. */

import {createRouterError} from '../../results/create-router-error/index.js';
import {EventBoundary} from '../../streams/event-boundary/index.js';
import type {ServiceResponse} from '../forward-call/index.js';

const eventStreamPattern = /^text\/event-stream\b/iu;

/** Yields the chunks of the body. Throws `streamBroken` after an event stream that ended with its connection inside an event. */
export async function * readServiceBody({answer, isUnframed}: ServiceResponse): AsyncGenerator<Buffer> {
	const boundary = new EventBoundary();
	for await (const chunk of answer.body as AsyncIterable<Buffer>) {
		boundary.add(chunk);
		yield chunk;
	}

	const isEventStream = eventStreamPattern.test(String(answer.headers['content-type']));
	if (isUnframed && isEventStream && !boundary.isReached) {
		throw createRouterError('streamBroken', 'the stream ended inside an event');
	}
}
