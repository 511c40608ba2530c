/** Failures of calls of an object API over HTTP. */

import {classifyCallError} from '../../http/classify-call-error/index.js';
import {ObjectApiError, type ObjectApiFailure} from '../object-api/index.js';

const failureByStatus = new Map<number, ObjectApiFailure>([
	[404, 'notFound'],
	[409, 'conflict'],
	[410, 'expired'],
	[413, 'tooLarge'],
	[429, 'rateLimited'],
	[503, 'unavailable'],
]);
/** Longest part of an answer's text that an error quotes, in characters. */
const quotedLength = 200;

/** Throws the failure that the status stands for unless it is one of success. */
export function checkStatus(status: number, text: string): void {
	if (status >= 200 && status < 300) {
		return;
	}

	throw new ObjectApiError(failureByStatus.get(status) ?? 'unavailable', `status ${status}: ${text.slice(0, quotedLength)}`);
}

/** Converts the error of a call: a write that may have been sent has an unknown outcome. */
export function convertCallError(error: unknown, method: string): ObjectApiError {
	if (error instanceof ObjectApiError) {
		return error;
	}

	const {message} = error as Error;
	const isSent = classifyCallError(error) !== 'neverConnected';
	const failure = method !== 'GET' && isSent ? 'unknownOutcome' : 'unavailable';
	return new ObjectApiError(failure, message, {cause: error});
}
