/**
 * Numbered result codes. Numbers are part of the caller API and never change their meaning.
 * `docs/result-codes.md` has the table for operators and callers.
 */

/** Definition of a result code. `notRun` states that no target ran any part of the request. */
export type ResultCodeEntry = {
	readonly code: number;
	readonly name: string;
	readonly httpStatus: number;
	readonly notRun: boolean;
	readonly message: string;
};

/** All result codes by name. 1xxx: the request; 2xxx: limits; 3xxx: targets; 4xxx: configuration; 5xxx: platform and peers. */
export const resultCodes = {
	malformedRequest: defineCode(1001, 'malformedRequest', 400, 'the request is not valid'),
	unauthenticated: defineCode(1002, 'unauthenticated', 401, 'the key is missing, unknown or withdrawn'),
	notFound: defineCode(1003, 'notFound', 404, 'no route or model has this name'),
	bodyTooLarge: defineCode(1004, 'bodyTooLarge', 413, 'the request body is larger than the limit'),
	requestTimeout: defineCode(1005, 'requestTimeout', 408, 'the request was not received in time'),
	methodNotAllowed: defineCode(1006, 'methodNotAllowed', 405, 'the path does not take this method'),
	headersTooLarge: defineCode(1007, 'headersTooLarge', 431, 'the request headers are larger than the limit'),
	idempotencyConflict: defineCode(1008, 'idempotencyConflict', 409, 'a call with this idempotency key is in progress or its outcome is unknown', false),
	idempotencyMismatch: defineCode(1009, 'idempotencyMismatch', 422, 'the idempotency key was used for another request'),
	budgetExceeded: defineCode(2001, 'budgetExceeded', 429, 'the organisation is over its token rate'),
	burstExceeded: defineCode(2002, 'burstExceeded', 413, 'the request needs more tokens than the organisation\'s burst'),
	overloaded: defineCode(2003, 'overloaded', 503, 'the request cannot be served before its deadline'),
	budgetUnavailable: defineCode(2004, 'budgetUnavailable', 503, 'no budget owner can be reached'),
	noTarget: defineCode(3001, 'noTarget', 503, 'no target can serve the request'),
	targetUnreachable: defineCode(3002, 'targetUnreachable', 502, 'no connection to a target could be opened'),
	outcomeUnknown: defineCode(3003, 'outcomeUnknown', 502, 'the target may have run the request; its answer was lost', false),
	streamBroken: defineCode(3004, 'streamBroken', 502, 'the answer broke off before its end', false),
	targetTimeout: defineCode(3005, 'targetTimeout', 504, 'the target sent nothing for too long', false),
	targetRefused: defineCode(3006, 'targetRefused', 503, 'the target refused the request without running it'),
	answerMismatch: defineCode(3007, 'answerMismatch', 502, 'the target answered another request', false),
	promptQuarantined: defineCode(3008, 'promptQuarantined', 503, 'a part of the prompt is quarantined because it crashes targets'),
	targetsLimited: defineCode(3009, 'targetsLimited', 503, 'all targets are at the request limits that they state'),
	requestQuarantined: defineCode(3010, 'requestQuarantined', 503, 'the request is quarantined because it crashes the targets that run it'),
	softwareGone: defineCode(3011, 'softwareGone', 503, 'no target serves the software version that began the stream'),
	softwareUnknown: defineCode(3012, 'softwareUnknown', 503, 'it is not certain which software version began the stream'),
	targetsUnreachable: defineCode(3013, 'targetsUnreachable', 503, 'this instance reaches no target, and no other instance can take the call over'),
	targetsPaused: defineCode(3014, 'targetsPaused', 503, 'all targets want no requests for a time'),
	configurationInvalid: defineCode(4001, 'configurationInvalid', 422, 'the resources are not valid'),
	nameCollision: defineCode(4002, 'nameCollision', 422, 'a name is used by both fleets and no policy covers it'),
	resourceConflict: defineCode(4003, 'resourceConflict', 409, 'the resource was changed by another writer'),
	settingsInvalid: defineCode(4004, 'settingsInvalid', 422, 'the settings are not valid'),
	notReady: defineCode(5001, 'notReady', 503, 'the instance has no configuration yet'),
	isolated: defineCode(5002, 'isolated', 503, 'the instance hears neither the store nor any peer'),
	storeUnavailable: defineCode(5003, 'storeUnavailable', 503, 'the object API cannot be reached'),
	stopping: defineCode(5004, 'stopping', 503, 'the instance is stopping'),
	internalError: defineCode(5005, 'internalError', 500, 'internal error', false),
} as const;

/** Name of a result code. */
export type ResultName = keyof typeof resultCodes;

function defineCode(code: number, name: string, httpStatus: number, message: string, notRun = true): ResultCodeEntry {
	return {
		code, name, httpStatus, notRun, message,
	};
}
