/** Reads the body of a call within the budget of memory for bodies, to which it counts until the call's response has ended. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RouterContext} from '../router-context/index.js';

/** Reads the whole body; throws what `BodyReader.read` throws. */
export async function readCallBody({intake, settings}: Pick<RouterContext, 'intake' | 'settings'>, message: IncomingMessage, response: ServerResponse): Promise<Buffer> {
	const reader = intake.openBody(message);
	response.once('close', () => {
		reader.release();
	});
	return reader.read(settings.limits.bodyBytes);
}
