/** Errors that carry a result code, and their shape in an answer to a caller. */

import VError from 'verror';
import {resultCodes, type ResultCodeEntry, type ResultName} from '../result-codes/index.js';

/** An error with a numbered result code. */
export class RouterError extends Error {
	readonly entry: ResultCodeEntry;
	/** Seconds after which a retry makes sense, if known. */
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

/** Details of a `RouterError`. */
export type RouterErrorOptions = {
	readonly cause?: Error;
	readonly retryAfterSeconds?: number;
	/** Whether a target may have run the request although the code alone says otherwise. */
	readonly mayHaveRun?: boolean;
};

/** Body of an error answer: the usual shape of model APIs plus the result code. */
export type ErrorBody = {
	readonly error: {
		readonly message: string;
		readonly type: string;
		/** Always null: the message names the field. */
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

/** Returns `error` itself when it carries a result code, else an internal error with it as cause. */
export function convertToRouterError(error: unknown): RouterError {
	if (error instanceof RouterError) {
		return error;
	}

	const cause = error instanceof Error ? error : new VError('%s', String(error));
	return createRouterError('internalError', undefined, {cause});
}

/** Formats the body of an error answer. */
export function formatErrorBody(error: RouterError): ErrorBody {
	const body = {
		message: error.message, type: error.entry.name, param: null, code: error.entry.code,
	};
	return error.notRun ? {error: {...body, not_run: true}} : {error: body};
}
