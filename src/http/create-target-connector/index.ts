/** Opens the connections of `undici` clients to targets, such that each reset is reported as an error. */

import {errors, type buildConnector} from 'undici';
import {openTargetSocket} from '../target-socket/index.js';

const defaultHttpPort = 80;

/** Creates a connector of plain TCP connections with a connect timeout. */
export function createTargetConnector(timeoutMs: number): buildConnector.connector {
	return ({hostname, port}, callback) => {
		const socket = openTargetSocket({
			host: hostname, port: port === '' ? defaultHttpPort : Number(port), noDelay: true, keepAlive: true,
		});
		const timer = setTimeout(() => {
			socket.destroy(new errors.ConnectTimeoutError('connecting to the target timed out'));
		}, timeoutMs);
		const onError = (error: Error) => {
			clearTimeout(timer);
			callback(error, null);
		};

		socket.once('error', onError);
		socket.once('connect', () => {
			clearTimeout(timer);
			socket.off('error', onError);
			callback(null, socket);
		});
	};
}
