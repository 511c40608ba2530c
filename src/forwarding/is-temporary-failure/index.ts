/** Tells error responses that say something about a target at the moment from those that say something about the call. */

const firstServerErrorStatus = 500;
/** Request timeout, too early and too many requests. */
const temporaryClientErrors: ReadonlySet<number> = new Set([408, 425, 429]);

/** Whether another target may answer the same call with success. */
export function isTemporaryFailure(status: number): boolean {
	return status >= firstServerErrorStatus || temporaryClientErrors.has(status);
}
