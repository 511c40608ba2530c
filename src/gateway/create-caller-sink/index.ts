/** Connects the forwarding core with the HTTP response to a caller. */

import type {ServerResponse} from 'node:http';
import type {CallerSink} from '../../forwarding/call-types/index.js';
import {CollectingSink} from '../collecting-sink/index.js';
import {ResponseSink} from '../response-sink/index.js';

/** Creates a sink that writes to `response`. */
export function createCallerSink(response: ServerResponse): CallerSink {
	return response.req.httpVersion === '1.0' ? new CollectingSink(response) : new ResponseSink(response);
}
