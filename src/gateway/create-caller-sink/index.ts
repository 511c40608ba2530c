/** Connects the forwarding core with the HTTP response to a caller. */

import type {ServerResponse} from 'node:http';
import type {CallerSink} from '../../forwarding/call-types/index.js';
import {abortResponse} from '../../http/abort-response/index.js';
import {beginResponse} from '../../http/begin-response/index.js';

/** Creates a sink that writes to `response`. */
export function createCallerSink(response: ServerResponse): CallerSink {
	return {
		begin(status, headers, isUnframed) {
			beginResponse(response, {status, headers, isUnframed});
		},
		write: chunk => response.write(chunk),
		end() {
			response.end();
		},
		destroy() {
			abortResponse(response);
		},
		onDrain(listener) {
			response.once('drain', listener);
		},
	};
}
