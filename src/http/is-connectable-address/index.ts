/** Tells whether one can connect to an address. */

import {isIPv4} from 'node:net';

const addressPattern = /^([\da-z](?:[\da-z.-]*[\da-z])?):([1-9]\d{0,4})$/iu;
const dottedNumbersPattern = /^[\d.]+$/u;
const maximumPort = 65_535;

/** Whether `text` is `host:port` with a host name or IPv4 address and a port that a server can have. */
export function isConnectableAddress(text: string): boolean {
	const [, host, port] = addressPattern.exec(text) ?? [];
	if (host === undefined || Number(port) > maximumPort) {
		return false;
	}

	return !dottedNumbersPattern.test(host) || isIPv4(host);
}
