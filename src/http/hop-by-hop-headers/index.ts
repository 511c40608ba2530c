/** Headers that apply to a single connection and are not forwarded. */

/** Names in lower case. */
export const hopByHopHeaders: ReadonlySet<string> = new Set(['connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect']);

/** Returns the names, in lower case, of further headers that the `Connection` header limits to its connection. */
export function parseConnectionOptions(connection: string | undefined): ReadonlySet<string> {
	return new Set((connection ?? '').toLowerCase().split(',').map(name => name.trim()));
}
