/**
 * Classifies failed HTTP calls.
 *
 * An error code alone does not tell whether any bytes were sent. Linux also reports `EHOSTUNREACH`, `ENETUNREACH`
 * and `ETIMEDOUT` on established connections whose packets were lost, and `ECONNRESET` at any time. Only an error of
 * the system call `connect` or the client's connect timeout shows that no connection was established.
 */

/** `neverConnected`: no bytes can have been sent; `silent`: no data was received within a timeout; `unknown`: any other error. */
export type CallErrorClass = 'neverConnected' | 'silent' | 'unknown';

const receiveTimeoutCodes = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']);

/** Classifies an error of `undici`. */
export function classifyCallError(error: unknown): CallErrorClass {
	if (isConnectError(error)) {
		return 'neverConnected';
	}

	const {code} = error as {code?: string};
	return code !== undefined && receiveTimeoutCodes.has(code) ? 'silent' : 'unknown';
}

function isConnectError(error: unknown): boolean {
	const {code, syscall, errors} = error as {code?: string; syscall?: string; errors?: readonly unknown[]};
	if (errors !== undefined && errors.length > 0) {
		// For a host name with several addresses, there is one error for each connection attempt.
		return errors.every(inner => isConnectError(inner));
	}

	return syscall === 'connect' || code === 'UND_ERR_CONNECT_TIMEOUT';
}
