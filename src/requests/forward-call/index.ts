/**
 * Forwards a call to a target of a service. A call that may not be repeated is retried only if the previous attempt did
 * not run, and uses a new connection for each attempt. A reset of a reused connection does not show whether the call
 * ran; on a new connection, the number of bytes written shows whether anything can have reached the target.
 */

import type {Socket} from 'node:net';
import {Agent, Client, type Dispatcher} from 'undici';
import VError from 'verror';
import type {ResolvedRoute, ResolvedTarget} from '../../configuration/configuration/index.js';
import {discardBody} from '../../http/discard-body/index.js';
import {classifyCallError} from '../../http/classify-call-error/index.js';
import {createTargetConnector} from '../../http/create-target-connector/index.js';
import {isFinalStatus} from '../../http/is-final-status/index.js';
import {isUnframed} from '../../http/is-unframed/index.js';
import {CallRequests, noPriorRequests} from '../../forwarding/call-requests/index.js';
import {createRouterError, convertToRouterError, RouterError} from '../../results/create-router-error/index.js';
import type {ResultName} from '../../results/result-codes/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import {calculateBackoff} from '../calculate-backoff/index.js';
import {checkSignal} from '../open-call-signal/index.js';
import {leavingHeader} from '../../targets/leaving-targets/index.js';
import type {RouterContext} from '../router-context/index.js';

/** A call of a service, with API keys removed. */
export type ServiceCall = {
	readonly route: ResolvedRoute;
	readonly method: string;
	/** Path and query. */
	readonly path: string;
	readonly headers: Record<string, string | string[]>;
	readonly body: Buffer;
	readonly isRepeatable: boolean;
	readonly signal: AbortSignal;
	/** Authenticates the caller again, and lists the targets that are live now. */
	listTargets(): readonly ResolvedTarget[];
};

/** A response whose headers have been received. `close` must be called once its body is no longer needed. */
export type ServiceResponse = {
	readonly answer: Dispatcher.ResponseData;
	/** Whether only the end of the connection delimits the body. */
	readonly isUnframed: boolean;
	close(): Promise<void>;
};

const connectTimeoutMs = 1000;
const maximumAttempts = 3;
const maximumConnectionsPerTarget = 256;
const repeatableMethods = new Set(['GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE']);

/** Whether a call may be repeated, as the route specifies: always, never, or only if its method is idempotent. */
export function isRepeatableCall(route: ResolvedRoute, method: string): boolean {
	return route.repeatable === 'always' || (route.repeatable === 'byMethod' && repeatableMethods.has(method));
}

/** Sends the call, with retries, until a target responds; rejects with a `RouterError` that is `notRun` only if no attempt may have run. */
export async function forwardCall(context: RouterContext, call: ServiceCall): Promise<ServiceResponse> {
	const requests = new CallRequests(noPriorRequests, context.findRetryBudget((call.route.service ?? '') as ServiceId));
	try {
		return await sendWithRetries(context, call, requests);
	} finally {
		requests.end(context.clock.readMonotonic());
	}
}

async function sendWithRetries(context: RouterContext, call: ServiceCall, requests: CallRequests): Promise<ServiceResponse> {
	let attemptsThatMayHaveRun = 0;
	const startIndex = Math.floor(Math.random() * 1024);
	for (let attempt = 1; ; attempt += 1) {
		try {
			checkSignal(call.signal);
			const target = pickTarget(call, startIndex + attempt);
			context.metrics.checkInvariant('atMostOneAttempt', call.isRepeatable || attemptsThatMayHaveRun === 0);
			return await sendCounted(context, target, call, requests);
		} catch (error) {
			const failure = convertToRouterError(error);
			attemptsThatMayHaveRun += failure.notRun ? 0 : 1;
			if (!takeRetry({context, call, requests}, failure, attempt)) {
				throw attemptsThatMayHaveRun > 0 && failure.notRun
					? createRouterError('outcomeUnknown', `an earlier attempt may have run; the last one failed: ${failure.message}`, {cause: failure})
					: failure;
			}

			await context.clock.sleep(calculateBackoff(attempt, Math.random()), call.signal);
		}
	}
}

function pickTarget(call: ServiceCall, index: number): ResolvedTarget {
	const targets = call.listTargets();
	const target = targets[index % Math.max(1, targets.length)];
	if (target === undefined) {
		throw createRouterError('noTarget', `service ${call.route.service ?? ''}`);
	}

	return target;
}

const retryableResults: ReadonlySet<ResultName> = new Set(['targetUnreachable', 'targetRefused', 'targetTimeout', 'outcomeUnknown']);

/** A call in progress. */
type CallInProgress = {readonly context: RouterContext; readonly call: ServiceCall; readonly requests: CallRequests};

/** Takes a retry from the budget if `failure` may be retried. A call that may not be repeated is retried only if it did not run. */
function takeRetry({context, call, requests}: CallInProgress, failure: RouterError, attempt: number): boolean {
	const name = failure.entry.name as ResultName;
	const isAllowed = retryableResults.has(name) && (failure.notRun || call.isRepeatable) && attempt < maximumAttempts && !call.signal.aborted;
	if (!isAllowed || !requests.reserve(context.clock.readMonotonic())) {
		return false;
	}

	context.metrics.retries.inc({kind: 'service', reason: name});
	return true;
}

/** Sends the call, and counts the request unless the target could not be reached. */
async function sendCounted(context: RouterContext, target: ResolvedTarget, call: ServiceCall, requests: CallRequests): Promise<ServiceResponse> {
	requests.recordSent(context.clock.readMonotonic());
	try {
		return await sendCall(context, target, call);
	} catch (error) {
		if (convertToRouterError(error).entry.name === 'targetUnreachable') {
			requests.recordNotSent(context.clock.readMonotonic());
		}

		throw error;
	}
}

async function sendCall(context: RouterContext, target: ResolvedTarget, call: ServiceCall): Promise<ServiceResponse> {
	const connection = call.isRepeatable ? undefined : new FreshConnection(target, call.route.timeoutMs);
	const close = async () => {
		await connection?.close();
	};

	try {
		const response = await (connection?.client ?? context.serviceConnections).request({
			origin: `http://${target.address}`,
			method: call.method,
			path: call.path,
			headers: call.headers,
			body: call.body.length === 0 ? undefined : call.body,
			signal: call.signal,
			headersTimeout: call.route.timeoutMs,
			bodyTimeout: call.route.timeoutMs,
		});
		if (response.headers[leavingHeader] === 'true') {
			context.targets.leaving.mark(target.address);
		}

		if (!isFinalStatus(response.statusCode)) {
			discardBody(response.body);
			throw createRouterError('outcomeUnknown', `${target.id} answered with status ${response.statusCode}, which HTTP doesn't have`);
		}

		if (response.statusCode === 503 && response.headers['x-not-run'] === 'true') {
			discardBody(response.body);
			throw createRouterError('targetRefused', target.id);
		}

		return {answer: response, isUnframed: isUnframed(call.method, response.statusCode, name => name in response.headers), close};
	} catch (error) {
		await close();
		throw error instanceof RouterError ? error : convertCallFailure(error, call.signal, connection);
	}
}

/** Must be called after the connection has been closed, so that no more bytes can be sent. */
function convertCallFailure(error: unknown, signal: AbortSignal, connection: FreshConnection | undefined): RouterError {
	const {message} = error as Error;
	const errorClass = classifyCallError(error);
	if (errorClass === 'neverConnected' || connection?.hasSentNothing() === true) {
		return createRouterError('targetUnreachable', message, {cause: error as Error});
	}

	if (signal.aborted) {
		return signal.reason as RouterError;
	}

	return createRouterError(errorClass === 'silent' ? 'targetTimeout' : 'outcomeUnknown', message, {cause: error as Error});
}

/** A new connection with a client that never reconnects. */
class FreshConnection {
	readonly client: Client;
	private socket: Socket | undefined;
	private isOpened = false;

	constructor(target: ResolvedTarget, timeoutMs: number) {
		const open = createTargetConnector(connectTimeoutMs);
		this.client = new Client(`http://${target.address}`, {
			headersTimeout: timeoutMs, bodyTimeout: timeoutMs, pipelining: 1,
			connect: (options, callback) => {
				if (this.isOpened) {
					// The client reconnects automatically if a connection closes before it was used.
					callback(new VError('refused to reconnect for a call that may not be repeated'), null);
					return;
				}

				this.isOpened = true;
				open(options, (...result) => {
					this.socket = result[1] ?? undefined;
					callback(...result);
				});
			},
		});
	}

	/** Whether no byte was passed to the operating system. `bytesWritten` includes bytes that the socket still buffers. */
	hasSentNothing(): boolean {
		return this.socket === undefined || this.socket.bytesWritten === 0;
	}

	async close(): Promise<void> {
		await this.client.destroy();
	}
}

/** Creates the connection pool for calls that may be repeated. */
export function createServiceConnections(): Agent {
	return new Agent({connect: createTargetConnector(connectTimeoutMs), connections: maximumConnectionsPerTarget, pipelining: 1});
}
