/** Abort signal of a call, for callers that disconnect and deadlines that pass. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {CallerWatch} from '../../http/watch-caller/index.js';
import {createRouterError, RouterError} from '../../results/create-router-error/index.js';

/** Header with the maximum time that the caller waits for the complete response, in milliseconds. */
export const timeoutHeader = 'x-timeout-ms';
const maximumTimeoutMs = 3_600_000;

/** Creates the abort signal of a call; its reason is a `RouterError`. A `CallerWatch` of the response ends it once the caller has left. */
export function openCallSignal(message: IncomingMessage, response: ServerResponse): AbortSignal {
	const controller = new AbortController();
	const timeoutMs = parseTimeout(message.headers[timeoutHeader]);
	const abort = (error: RouterError) => {
		controller.abort(error);
	};

	const timer = timeoutMs === undefined ? undefined : setTimeout(abort, timeoutMs, createRouterError('targetTimeout', 'the caller\'s deadline has passed'));
	response.once('close', () => {
		clearTimeout(timer);
		if (!response.writableFinished) {
			abort(createCallerGoneError());
		}
	});
	if (message.socket.destroyed) {
		abort(createCallerGoneError());
	}

	return controller.signal;
}

/** Throws the reason of `signal` if it has aborted. */
export function checkSignal(signal: AbortSignal): void {
	if (signal.aborted) {
		throw signal.reason instanceof RouterError ? signal.reason : createRouterError('streamBroken', 'the call was cancelled');
	}
}

/** Throws if the caller has left by the time that everything which had arrived from it is read, or if `signal` has aborted. */
export async function confirmCaller(caller: CallerWatch, signal: AbortSignal): Promise<void> {
	const isConnected = await caller.confirm();
	checkSignal(signal);
	if (!isConnected) {
		throw createCallerGoneError();
	}
}

function createCallerGoneError(): RouterError {
	return createRouterError('streamBroken', 'the caller closed the connection');
}

function parseTimeout(value: string | string[] | undefined): number | undefined {
	if (value === undefined) {
		return undefined;
	}

	const timeoutMs = Number(value);
	if (!Number.isInteger(timeoutMs) || timeoutMs < 1 || timeoutMs > maximumTimeoutMs) {
		throw createRouterError('malformedRequest', `${timeoutHeader} must be a whole number from 1 to ${maximumTimeoutMs}`);
	}

	return timeoutMs;
}
