/** Interface between the gateway and the HTTP messages of callers. */

import type {IncomingMessage} from 'node:http';
import type {InboundCall} from '../../forwarding/call-types/index.js';
import type {RouterError} from '../../results/create-router-error/index.js';

/** Converts between the HTTP messages of callers and the types of the forwarding core. */
export type CallerProtocol = {
	/** Parses the head of a call; throws a `RouterError` if it is invalid. */
	readCall(message: IncomingMessage): InboundCall;
	/** Returns the header names and values of an error answer, alternating. */
	buildErrorHeaders(error: RouterError, call: InboundCall | undefined): string[];
};
