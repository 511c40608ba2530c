/** Serves calls of services with an idempotency key. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {discardBody} from '../../http/discard-body/index.js';
import type {OrganisationId} from '../../identity/ids/index.js';
import {createRouterError, convertToRouterError} from '../../results/create-router-error/index.js';
import {ByteCollector} from '../../streams/byte-collector/index.js';
import {filterResponseHeaders} from '../filter-secrets/index.js';
import {forwardCall, type ServiceResponse, type ServiceCall} from '../forward-call/index.js';
import {
	hashRecordName, hashRequest, maximumStoredBodyBytes, type Claim, type StoredResponse,
} from '../idempotency-records/index.js';
import {readServiceBody} from '../read-service-body/index.js';
import type {RouterContext} from '../router-context/index.js';
import {writeServiceResponse} from '../write-service-response/index.js';

/** Header with the caller's idempotency key. */
export const idempotencyHeader = 'idempotency-key';
/** Header that marks a response as replayed from a record. */
export const replayedHeader = 'idempotency-replayed';

const idempotencyKeyPattern = /^[\u0021-\u007E]{1,255}$/u;

/** An idempotency key and the organisation that it belongs to. */
export type ScopedIdempotencyKey = {readonly organisation: OrganisationId; readonly key: string};

/** A response that is too large for a record: the bytes read so far, and an iterator over the chunks that follow. */
type LargeResponse = {readonly start: Buffer; readonly unreadChunks: AsyncIterator<Buffer>; readonly answer: ServiceResponse};

/** Reads the caller's idempotency key; throws `malformedRequest` if it is not valid. */
export function extractIdempotencyKey(message: IncomingMessage): string | undefined {
	const key = message.headers[idempotencyHeader];
	if (key === undefined) {
		return undefined;
	}

	if (typeof key !== 'string' || !idempotencyKeyPattern.test(key)) {
		throw createRouterError('malformedRequest', `${idempotencyHeader} must have 1 to 255 visible ASCII characters`);
	}

	return key;
}

/** Claims the key, sends the call and stores its response, or replays the response of an earlier call with the key. */
export async function serveIdempotentCall(context: RouterContext, call: ServiceCall, scopedKey: ScopedIdempotencyKey, response: ServerResponse): Promise<void> {
	const name = hashRecordName(scopedKey.organisation, call.route.id, scopedKey.key);
	const contentType = call.headers['content-type'];
	const fingerprint = hashRequest(call.method, call.path, contentType === undefined ? undefined : String(contentType), call.body);
	const claimOutcome = await context.idempotency.claim(name, fingerprint);
	if (claimOutcome.type === 'replayed') {
		sendStoredResponse(response, claimOutcome.answer, {[replayedHeader]: 'true'});
		return;
	}

	// The call continues if its caller disconnects, so that a repeated call gets the stored response.
	const responsePromise = runClaimedCall(context, {...call, signal: new AbortController().signal}, claimOutcome.claim);
	const result = await Promise.race([responsePromise, waitForAbort(call.signal)]);
	if (result === 'aborted') {
		responsePromise.then(discardLargeResponse, () => {
			// The caller has disconnected; a repeated call learns the outcome from the record.
		});
		throw call.signal.reason as Error;
	}

	if ('unreadChunks' in result) {
		await writeServiceResponse(response, result.answer, concatenateChunks(result.start, result.unreadChunks));
		return;
	}

	sendStoredResponse(response, result);
}

async function runClaimedCall(context: RouterContext, call: ServiceCall, claim: Claim): Promise<StoredResponse | LargeResponse> {
	let serviceResponse: ServiceResponse;
	try {
		serviceResponse = await forwardCall(context, call);
	} catch (error) {
		if (convertToRouterError(error).notRun) {
			await context.idempotency.release(claim);
		}

		throw error;
	}

	try {
		const bufferedResponse = await bufferResponse(serviceResponse);
		const isStored = await context.idempotency.storeResponse(claim, 'unreadChunks' in bufferedResponse ? 'tooLarge' : bufferedResponse);
		if (!isStored) {
			context.logger.warn('answer not stored', {record: claim.name});
		}

		if (!('unreadChunks' in bufferedResponse)) {
			await serviceResponse.close();
		}

		return bufferedResponse;
	} catch (error) {
		await serviceResponse.close();
		throw createRouterError('outcomeUnknown', `reading the response failed: ${(error as Error).message}`, {cause: error as Error});
	}
}

/** Reads the response into memory until it ends or is too large for a record. */
async function bufferResponse(serviceResponse: ServiceResponse): Promise<StoredResponse | LargeResponse> {
	const {statusCode, headers} = serviceResponse.answer;
	const collector = new ByteCollector();
	const unreadChunks = readServiceBody(serviceResponse);
	for (let step = await unreadChunks.next(); step.done !== true; step = await unreadChunks.next()) {
		collector.add(step.value);
		if (collector.sizeBytes > maximumStoredBodyBytes) {
			return {start: collector.take(), unreadChunks, answer: serviceResponse};
		}
	}

	return {status: statusCode, headers: filterResponseHeaders(headers), bodyBase64: collector.take().toString('base64')};
}

function sendStoredResponse(response: ServerResponse, stored: StoredResponse, headers: Readonly<Record<string, string>> = {}): void {
	response.writeHead(stored.status, {...stored.headers, ...headers});
	response.end(Buffer.from(stored.bodyBase64, 'base64'));
}

async function * concatenateChunks(start: Buffer, unreadChunks: AsyncIterator<Buffer>): AsyncGenerator<Buffer> {
	yield start;
	for (let step = await unreadChunks.next(); step.done !== true; step = await unreadChunks.next()) {
		yield step.value;
	}
}

async function discardLargeResponse(response: StoredResponse | LargeResponse): Promise<void> {
	if ('unreadChunks' in response) {
		discardBody(response.answer.answer.body);
		await response.answer.close();
	}
}

async function waitForAbort(signal: AbortSignal): Promise<'aborted'> {
	return new Promise(resolve => {
		if (signal.aborted) {
			resolve('aborted');
			return;
		}

		signal.addEventListener('abort', () => {
			resolve('aborted');
		}, {once: true});
	});
}
