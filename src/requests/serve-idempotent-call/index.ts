/** Serves a call of a service that carries an idempotency key. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {pipeline} from 'node:stream/promises';
import {discardBody} from '../../http/discard-body/index.js';
import type {OrganisationId} from '../../identity/ids/index.js';
import {createRouterError, convertToRouterError} from '../../results/create-router-error/index.js';
import {filterAnswerHeaders} from '../filter-secrets/index.js';
import {forwardCall, type ServiceAnswer, type ServiceCall} from '../forward-call/index.js';
import {
	hashRecordName, hashRequest, largestStoredBody, type Claim, type StoredAnswer,
} from '../idempotency-records/index.js';
import type {RouterContext} from '../router-context/index.js';

/** Header with the caller's idempotency key. */
export const idempotencyHeader = 'idempotency-key';
/** Header of an answer that comes from a record. */
export const replayedHeader = 'idempotency-replayed';

const keyPattern = /^[\u0021-\u007E]{1,255}$/u;

/** Whose key it is. */
export type IdempotentCaller = {readonly organisation: OrganisationId; readonly key: string};

/** An answer that was too large for a record: what was read so far, and the rest. */
type LargeAnswer = {readonly start: readonly Buffer[]; readonly rest: AsyncIterator<Buffer>; readonly answer: ServiceAnswer};

/** Reads the caller's idempotency key; throws `malformedRequest` when it is not valid. */
export function extractIdempotencyKey(message: IncomingMessage): string | undefined {
	const key = message.headers[idempotencyHeader];
	if (key === undefined) {
		return undefined;
	}

	if (typeof key !== 'string' || !keyPattern.test(key)) {
		throw createRouterError('malformedRequest', `${idempotencyHeader} must have 1 to 255 visible ASCII characters`);
	}

	return key;
}

/** Claims the key, sends the call and stores the answer; or answers from the record. */
export async function serveIdempotentCall(context: RouterContext, call: ServiceCall, caller: IdempotentCaller, response: ServerResponse): Promise<void> {
	const name = hashRecordName(caller.organisation, call.route.id, caller.key);
	const contentType = call.headers['content-type'];
	const fingerprint = hashRequest(call.method, call.path, contentType === undefined ? undefined : String(contentType), call.body);
	const outcome = await context.idempotency.claim(name, fingerprint);
	if (outcome.type === 'replayed') {
		sendStored(response, outcome.answer, {[replayedHeader]: 'true'});
		return;
	}

	// The call goes on without its caller, so that a repeated call finds the answer.
	const running = runClaimedCall(context, {...call, signal: new AbortController().signal}, outcome.claim);
	const finished = await Promise.race([running, waitForAbort(call.signal)]);
	if (finished === 'aborted') {
		running.then(discardLarge, () => {
			// The caller has gone; the record tells the outcome.
		});
		throw call.signal.reason as Error;
	}

	if ('rest' in finished) {
		await sendLarge(response, finished);
		return;
	}

	sendStored(response, finished);
}

async function runClaimedCall(context: RouterContext, call: ServiceCall, claim: Claim): Promise<StoredAnswer | LargeAnswer> {
	let answer: ServiceAnswer;
	try {
		answer = await forwardCall(context, call);
	} catch (error) {
		if (convertToRouterError(error).notRun) {
			await context.idempotency.release(claim);
		}

		throw error;
	}

	try {
		const read = await readStart(answer);
		const isStored = await context.idempotency.finish(claim, 'rest' in read ? 'tooLarge' : read);
		if (!isStored) {
			context.logger.warn('answer not stored', {record: claim.name});
		}

		if (!('rest' in read)) {
			await answer.close();
		}

		return read;
	} catch (error) {
		await answer.close();
		throw createRouterError('outcomeUnknown', `the answer broke off: ${(error as Error).message}`, {cause: error as Error});
	}
}

/** Reads the answer as far as a record can hold it. */
async function readStart(answer: ServiceAnswer): Promise<StoredAnswer | LargeAnswer> {
	const {body, statusCode, headers} = answer.answer;
	const start: Buffer[] = [];
	let size = 0;
	const rest = body[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
	for (let step = await rest.next(); step.done !== true; step = await rest.next()) {
		start.push(step.value);
		size += step.value.length;
		if (size > largestStoredBody) {
			return {start, rest, answer};
		}
	}

	return {status: statusCode, headers: filterAnswerHeaders(headers), bodyBase64: Buffer.concat(start).toString('base64')};
}

function sendStored(response: ServerResponse, answer: StoredAnswer, headers: Readonly<Record<string, string>> = {}): void {
	response.writeHead(answer.status, {...answer.headers, ...headers});
	response.end(Buffer.from(answer.bodyBase64, 'base64'));
}

async function sendLarge(response: ServerResponse, {start, rest, answer}: LargeAnswer): Promise<void> {
	response.writeHead(answer.answer.statusCode, filterAnswerHeaders(answer.answer.headers));
	try {
		await pipeline(joinParts(start, rest), response);
	} finally {
		// After a break on the caller's side the rest would hold the connection to the target.
		discardBody(answer.answer.body);
		await answer.close();
	}
}

async function * joinParts(start: readonly Buffer[], rest: AsyncIterator<Buffer>): AsyncGenerator<Buffer> {
	yield * start;
	for (let step = await rest.next(); step.done !== true; step = await rest.next()) {
		yield step.value;
	}
}

async function discardLarge(finished: StoredAnswer | LargeAnswer): Promise<void> {
	if ('rest' in finished) {
		discardBody(finished.answer.answer.body);
		await finished.answer.close();
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
