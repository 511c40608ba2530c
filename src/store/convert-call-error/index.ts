/** Conversion of HTTP statuses and errors to `ObjectApiError`. */

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
/** Maximum length of response text in an error message, in characters. */
const maximumQuotedCharacters = 200;

/** Throws the failure that corresponds to `status`, unless it is a success status. */
export function checkStatus(status: number, text: string): void {
	if (status >= 200 && status < 300) {
		return;
	}

	throw new ObjectApiError(failureByStatus.get(status) ?? 'unavailable', `status ${status}: ${text.slice(0, maximumQuotedCharacters)}`);
}

/** Converts the error of a call. A write that may have been sent gets `unknownOutcome`. */
export function convertCallError(error: unknown, method: string): ObjectApiError {
	if (error instanceof ObjectApiError) {
		return error;
	}

	const {message} = error as Error;
	const isSent = classifyCallError(error) !== 'neverConnected';
	const failure = method !== 'GET' && isSent ? 'unknownOutcome' : 'unavailable';
	return new ObjectApiError(failure, message, {cause: error});
}
