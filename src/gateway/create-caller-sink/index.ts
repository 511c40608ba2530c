/** Connects the forwarding core with the HTTP response to a caller. */

import type {ServerResponse} from 'node:http';
import type {CallerSink} from '../../forwarding/call-types/index.js';
import {abortResponse} from '../../http/abort-response/index.js';
import {beginResponse} from '../../http/begin-response/index.js';
import {CollectingSink} from '../collecting-sink/index.js';

/** Creates a sink that writes to `response`. */
export function createCallerSink(response: ServerResponse): CallerSink {
	if (response.req.httpVersion === '1.0') {
		return new CollectingSink(response);
	}

	return {
		begin(status, headers) {
			beginResponse(response, {status, headers});
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
