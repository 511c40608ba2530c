/**
 * Finds out whether a target has ended after its connection broke. A target that only resets a connection still accepts new
 * ones; at the address of one that has crashed nothing listens.
 */

import {parseAddress} from '../../http/parse-address/index.js';
import {openTargetSocket} from '../../http/target-socket/index.js';
import type {FleetTarget} from '../fleet-target/index.js';

/** Longest wait for the result of a connection attempt, in milliseconds. */
const probeTimeoutMs = 400;

/** `down`: connections are refused. `unknown`: nothing was heard, as of a target that is cut off. */
export type TargetState = 'down' | 'up' | 'unknown';

/** Probes a target with one connection, which is closed at once. */
export async function probeTarget({description: {address}}: FleetTarget): Promise<TargetState> {
	return new Promise(resolve => {
		const socket = openTargetSocket({...parseAddress(address), timeout: probeTimeoutMs});
		const finish = (state: TargetState) => {
			socket.destroy();
			resolve(state);
		};

		socket.once('connect', () => {
			finish('up');
		});
		socket.once('timeout', () => {
			finish('unknown');
		});
		socket.on('error', error => {
			finish('code' in error && error.code === 'ECONNREFUSED' ? 'down' : 'unknown');
		});
	});
}
