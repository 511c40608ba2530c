/**
 * Classification of failed calls over HTTP.
 *
 * An error code alone does not tell whether a byte was sent: Linux reports `EHOSTUNREACH`, `ENETUNREACH` and
 * `ETIMEDOUT` also on established connections whose packets got lost, and `ECONNRESET` at any time. Only errors of
 * the system call `connect` itself, and the client's own time limit on it, show that the connection never existed.
 */

/** `neverConnected`: no byte can have been sent; `silent`: nothing was received for too long; `unknown`: anything else. */
export type CallErrorClass = 'neverConnected' | 'silent' | 'unknown';

const silenceCodes = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']);

/** Classifies an error of `undici`. */
export function classifyCallError(error: unknown): CallErrorClass {
	if (isConnectError(error)) {
		return 'neverConnected';
	}

	const {code} = error as {code?: string};
	return code !== undefined && silenceCodes.has(code) ? 'silent' : 'unknown';
}

function isConnectError(error: unknown): boolean {
	const {code, syscall, errors} = error as {code?: string; syscall?: string; errors?: readonly unknown[]};
	if (errors !== undefined && errors.length > 0) {
		// A host name with several addresses: each attempt has an error of its own.
		return errors.every(inner => isConnectError(inner));
	}

	return syscall === 'connect' || code === 'UND_ERR_CONNECT_TIMEOUT';
}
