import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {chooseConnectionToClose, type ConnectionState} from './index.js';

const now = 10_000 as MonotonicMs;

function createConnection(connection: string, state: ConnectionState, quietMs: number) {
	return {connection, state, quietSince: now - quietMs as MonotonicMs};
}

test('guards against closing idle connections while others have stopped in the middle of a request', () => {
	const connections = [createConnection('idle', 'idle', 9000), createConnection('stopped', 'receiving', 2000), createConnection('longer', 'receiving', 3000)];
	expect(chooseConnectionToClose(connections, now)).toEqual('longer');
	expect(chooseConnectionToClose(connections.slice(0, 1), now)).toEqual('idle');
});

test('guards against closing connections with a call that is being served, or that carry data', () => {
	expect(chooseConnectionToClose([createConnection('served', 'serving', 9000), createConnection('active', 'receiving', 10)], now)).toEqual(undefined);
});
