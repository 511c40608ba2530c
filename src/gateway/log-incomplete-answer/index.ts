/**
 * Log line of an answer that its caller does not get as a whole. It tells who ended the connection, how far request and
 * answer had come, and which configuration ruled the call, so that a cut by this instance can be told from others.
 */

import type {ServerResponse} from 'node:http';
import type {MonotonicMs, RequestId, Revision} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';

/** Who ended the connection: the caller in order, so that it takes no more; a reset or another failure of the connection; or this instance. */
export type ConnectionEnd = 'caller' | 'failure' | 'instance';

/** State of a call at one time. */
export type CallMoment = {
	readonly at: MonotonicMs;
	/** Revision of the configuration in force; undefined before the first. */
	readonly revision: Revision | undefined;
};

/** An answer that has ended before it was complete. */
export type IncompleteAnswer = {
	readonly id: RequestId | undefined;
	readonly response: ServerResponse;
	readonly arrival: CallMoment;
	readonly end: CallMoment;
};

/** Writes the line. */
export function logIncompleteAnswer({id, response, arrival, end}: IncompleteAnswer, logger: EventLogger): void {
	const {req: message, headersSent} = response;
	logger.info('answer not completed', {
		id, endedBy: findConnectionEnd(response), requestRead: message.complete, headSent: headersSent,
		revision: arrival.revision, revisionAtEnd: end.revision, durationMs: Math.round(end.at - arrival.at),
	});
}

function findConnectionEnd({req: {socket}}: ServerResponse): ConnectionEnd {
	if (!socket.readableEnded) {
		return socket.errored ? 'failure' : 'instance';
	}

	// A caller that has ended its side is there until a write fails, unless the server answers the end with its own.
	return socket.errored !== null || socket.writableEnded ? 'caller' : 'instance';
}
