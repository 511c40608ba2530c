/**
 * Forwards a call to a plain service. A call that may not be repeated goes out at most once, on a fresh connection:
 * on a reused connection a reset says nothing about whether the call ran, on a fresh one the bytes written tell
 * whether anything can have reached the target.
 */

import type {Socket} from 'node:net';
import {
	Agent, buildConnector, Client, type Dispatcher,
} from 'undici';
import VError from 'verror';
import type {ResolvedRoute, ResolvedTarget} from '../../configuration/configuration/index.js';
import {discardBody} from '../../http/discard-body/index.js';
import {classifyCallError} from '../../http/classify-call-error/index.js';
import {createRouterError, convertToRouterError, RouterError} from '../../results/create-router-error/index.js';
import type {ResultName} from '../../results/result-codes/index.js';
import {calculateBackoff} from '../calculate-backoff/index.js';
import {checkSignal} from '../open-call-signal/index.js';
import {leavingHeader} from '../../targets/leaving-targets/index.js';
import type {RouterContext} from '../router-context/index.js';

/** A call of a service, without any key. */
export type ServiceCall = {
	readonly route: ResolvedRoute;
	readonly method: string;
	/** Path and query. */
	readonly path: string;
	readonly headers: Record<string, string | string[]>;
	readonly body: Buffer;
	readonly isRepeatable: boolean;
	readonly signal: AbortSignal;
	/** Lists the workers now live, after checking the caller again. */
	listTargets(): readonly ResolvedTarget[];
};

/** An answer whose headers have arrived; `close` must be called when its body is done with. */
export type ServiceAnswer = {readonly answer: Dispatcher.ResponseData; close(): Promise<void>};

const connectTimeoutMs = 1000;
const maximumAttempts = 3;
/** Connections kept to each worker. */
const keptConnections = 256;
const repeatableMethods = new Set(['GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE']);

/** Whether a call may be repeated: by the route's word, else by the definition of its method. */
export function isRepeatableCall(route: ResolvedRoute, method: string): boolean {
	return route.repeatable === 'always' || (route.repeatable === 'byMethod' && repeatableMethods.has(method));
}

/** Sends the call until a target answers it; rejects with a `RouterError` that speaks for all attempts. */
export async function forwardCall(context: RouterContext, call: ServiceCall): Promise<ServiceAnswer> {
	let attemptsThatMayHaveRun = 0;
	const start = Math.floor(Math.random() * 1024);
	for (let attempt = 1; ; attempt += 1) {
		try {
			checkSignal(call.signal);
			const target = pickTarget(call, start + attempt);
			context.metrics.checkInvariant('atMostOneAttempt', call.isRepeatable || attemptsThatMayHaveRun === 0);
			return await sendTo(context, target, call);
		} catch (error) {
			const failure = convertToRouterError(error);
			attemptsThatMayHaveRun += failure.notRun ? 0 : 1;
			if (!takeRetry(context, call, failure, attempt)) {
				throw attemptsThatMayHaveRun > 0 && failure.notRun
					? createRouterError('outcomeUnknown', `an earlier attempt may have run; the last one failed: ${failure.message}`, {cause: failure})
					: failure;
			}

			await context.clock.sleep(calculateBackoff(attempt, Math.random()), call.signal);
		}
	}
}

function pickTarget(call: ServiceCall, turn: number): ResolvedTarget {
	const targets = call.listTargets();
	const target = targets[turn % Math.max(1, targets.length)];
	if (target === undefined) {
		throw createRouterError('noTarget', `service ${call.route.service ?? ''}`);
	}

	return target;
}

const retryable: ReadonlySet<ResultName> = new Set(['targetUnreachable', 'targetRefused', 'targetTimeout', 'outcomeUnknown']);

/** A call that may not be repeated goes on only while it provably has not run. */
function takeRetry(context: RouterContext, call: ServiceCall, failure: RouterError, attempt: number): boolean {
	const name = failure.entry.name as ResultName;
	const isAllowed = retryable.has(name) && (failure.notRun || call.isRepeatable) && attempt < maximumAttempts && !call.signal.aborted;
	if (!isAllowed || !context.retryBudget.take()) {
		return false;
	}

	context.metrics.retries.inc({kind: 'service', reason: name});
	return true;
}

async function sendTo(context: RouterContext, target: ResolvedTarget, call: ServiceCall): Promise<ServiceAnswer> {
	const connection = call.isRepeatable ? undefined : new FreshConnection(target, call.route.timeoutMs);
	const close = async () => {
		await connection?.close();
	};

	try {
		const answer = await (connection?.client ?? context.serviceConnections).request({
			origin: `http://${target.address}`,
			method: call.method,
			path: call.path,
			headers: call.headers,
			body: call.body.length === 0 ? undefined : call.body,
			signal: call.signal,
			headersTimeout: call.route.timeoutMs,
			bodyTimeout: call.route.timeoutMs,
		});
		if (answer.headers[leavingHeader] === 'true') {
			context.targets.leaving.mark(target.address);
		}

		if (answer.statusCode === 503 && answer.headers['x-not-run'] === 'true') {
			discardBody(answer.body);
			throw createRouterError('targetRefused', target.id);
		}

		return {answer, close};
	} catch (error) {
		await close();
		throw error instanceof RouterError ? error : convertCallFailure(error, call.signal, connection);
	}
}

/** Called after the connection is closed, so that no byte can follow. */
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

/** A client that opens one connection, ever. */
class FreshConnection {
	readonly client: Client;
	private socket: Socket | undefined;
	private isOpened = false;

	constructor(target: ResolvedTarget, timeoutMs: number) {
		const open = buildConnector({timeout: connectTimeoutMs});
		this.client = new Client(`http://${target.address}`, {
			headersTimeout: timeoutMs, bodyTimeout: timeoutMs, pipelining: 1,
			connect: (options, callback) => {
				if (this.isOpened) {
					// The client reconnects by itself when a connection closes before it was used.
					callback(new VError('a call that may not be repeated uses one connection only'), null);
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

	/** Whether no byte was handed to the operating system. The socket counts bytes still in its own queue as well. */
	hasSentNothing(): boolean {
		return this.socket === undefined || this.socket.bytesWritten === 0;
	}

	async close(): Promise<void> {
		await this.client.destroy();
	}
}

/** Creates the kept connections for calls that may be repeated. */
export function createServiceConnections(): Agent {
	return new Agent({connect: {timeout: connectTimeoutMs}, connections: keptConnections, pipelining: 1});
}
