/** Addresses in the form `host:port`. */

import VError from 'verror';

/** IP address and port of a host. */
export type Address = {readonly host: string; readonly port: number};

const maximumPort = 65_535;

/** Parses `host:port`; throws when the port is missing or out of range. */
export function parseAddress(text: string): Address {
	const separator = text.lastIndexOf(':');
	const host = text.slice(0, separator);
	const portText = text.slice(separator + 1);
	const port = Number(portText);
	if (separator < 1 || portText === '' || !Number.isInteger(port) || port < 0 || port > maximumPort) {
		throw new VError('"%s" is not an address of the form host:port', text);
	}

	return {host, port};
}
