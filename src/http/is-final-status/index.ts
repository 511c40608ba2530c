/** Tells whether a status can be that of a final response. */

const firstFinalStatus = 200;
const lastStatus = 599;

/** Whether a status is that of a final response (RFC 9110, 15). A response with any other one is an error of its sender. */
export function isFinalStatus(status: number): boolean {
	return status >= firstFinalStatus && status <= lastStatus;
}
