/** Errors with a result code, and their format in responses to callers. */

import VError from 'verror';
import {resultCodes, type ResultCodeEntry, type ResultName} from '../result-codes/index.js';

/** An error with a numbered result code. */
export class RouterError extends Error {
	readonly entry: ResultCodeEntry;
	/** Delay after which the caller may retry, if known. */
	readonly retryAfterSeconds: number | undefined;
	override readonly cause: Error | undefined;
	/** Whether no target ran any part of the request. */
	readonly notRun: boolean;

	constructor(entry: ResultCodeEntry, message: string, options: RouterErrorOptions = {}) {
		super(message);
		this.name = 'RouterError';
		this.entry = entry;
		this.cause = options.cause;
		this.retryAfterSeconds = options.retryAfterSeconds;
		this.notRun = entry.notRun && !(options.mayHaveRun ?? false);
	}
}

/** Optional properties of a `RouterError`. */
export type RouterErrorOptions = {
	readonly cause?: Error;
	readonly retryAfterSeconds?: number;
	/** Whether a target may have run the request, even if `notRun` of the code says otherwise. */
	readonly mayHaveRun?: boolean;
};

/** Body of an error response: the error format of model APIs plus the result code. */
export type ErrorBody = {
	readonly error: {
		readonly message: string;
		readonly type: string;
		/** Always null; the message names the field. */
		readonly param: null;
		readonly code: number;
		readonly not_run?: true;
	};
};

/** Creates an error for the code `name`; `detail` is appended to the code's message. */
export function createRouterError(name: ResultName, detail?: string, options: RouterErrorOptions = {}): RouterError {
	const entry = resultCodes[name];
	const message = detail === undefined ? entry.message : `${entry.message}: ${detail}`;
	return new RouterError(entry, message, options);
}

/** Returns `error` if it is a `RouterError`, otherwise an `internalError` with `error` as its cause. */
export function convertToRouterError(error: unknown): RouterError {
	if (error instanceof RouterError) {
		return error;
	}

	const cause = error instanceof Error ? error : new VError('%s', String(error));
	return createRouterError('internalError', undefined, {cause});
}

/** Converts an error that ends a call unexpectedly; the result promises nothing that may not hold if a target may have run the call. */
export function convertUnexpectedError(cause: Error, mayHaveRun: boolean): RouterError {
	const error = convertToRouterError(cause);
	return error.notRun && mayHaveRun ? createRouterError('outcomeUnknown', error.message, {cause}) : error;
}

/** Formats the body of an error response. */
export function formatErrorBody(error: RouterError): ErrorBody {
	const body = {
		message: error.message, type: error.entry.name, param: null, code: error.entry.code,
	};
	return error.notRun ? {error: {...body, not_run: true}} : {error: body};
}
