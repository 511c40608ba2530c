/** Passes the response of a service on to the caller. */

import type {ServerResponse} from 'node:http';
import {finished} from 'node:stream/promises';
import {abortResponse} from '../../http/abort-response/index.js';
import {beginResponse} from '../../http/begin-response/index.js';
import {discardBody} from '../../http/discard-body/index.js';
import {waitForDrain} from '../../http/wait-for-drain/index.js';
import {createRouterError, RouterError} from '../../results/create-router-error/index.js';
import {filterResponseHeaders} from '../filter-secrets/index.js';
import type {ServiceResponse} from '../forward-call/index.js';

/** Sends the head of a response and its body `chunks`. A failure breaks the caller's connection off, so that a truncated body never looks complete. */
export async function writeServiceResponse(response: ServerResponse, serviceResponse: ServiceResponse, chunks: AsyncIterable<Buffer>): Promise<void> {
	const {answer} = serviceResponse;
	try {
		beginResponse(response, {status: answer.statusCode, headers: filterResponseHeaders(answer.headers)});
		for await (const chunk of chunks) {
			if (!response.write(chunk)) {
				await waitForDrain(response);
			}
		}

		response.end();
		await finished(response);
	} catch (error) {
		abortResponse(response);
		throw error instanceof RouterError ? error : createRouterError('streamBroken', (error as Error).message, {cause: error as Error});
	} finally {
		// If the caller disconnects, unread chunks would keep the connection to the target open.
		discardBody(answer.body);
		await serviceResponse.close();
	}
}
