import type {Socket} from 'node:net';
import {PassThrough} from 'node:stream';
import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {ConnectionState} from '../choose-connection-to-close/index.js';
import {ConnectionLimit} from './index.js';

/** Creates a socket that has carried `bytesRead`. */
function createSocket(bytesRead = 0): Socket & {isClosed?: boolean} {
	return Object.assign(new PassThrough(), {
		bytesRead, bytesWritten: 0,
		destroy() {
			Object.assign(this, {isClosed: true});
		},
	}) as unknown as Socket & {isClosed?: boolean};
}

function createLimit(states = new Map<Socket, ConnectionState>()) {
	return new ConnectionLimit(2, () => states);
}

test('refuses a connection above the limit while all others are in use', () => {
	const limit = createLimit();
	expect([1, 2].map(() => limit.admit(createSocket(), 0 as MonotonicMs))).toEqual([true, true]);
	const third = createSocket();
	expect(limit.admit(third, 500 as MonotonicMs)).toEqual(false);
	expect([limit.count, limit.has(third), limit.counts.refused]).toEqual([2, false, 1]);
});

test('guards against refusing new callers while silent connections take all places', () => {
	const limit = createLimit();
	const silent = createSocket();
	limit.admit(silent, 0 as MonotonicMs);
	limit.admit(createSocket(), 1500 as MonotonicMs);
	expect(limit.admit(createSocket(), 2000 as MonotonicMs)).toEqual(true);
	expect([limit.count, silent.isClosed, limit.counts.closed]).toEqual([2, true, 1]);
});

test('guards against closing connections that have carried data since they were observed, or with a call that is served', () => {
	const served = createSocket();
	const limit = createLimit(new Map([[served, 'serving']]));
	const active = createSocket(100);
	limit.admit(served, 0 as MonotonicMs);
	limit.admit(active, 0 as MonotonicMs);
	expect(limit.admit(createSocket(), 5000 as MonotonicMs)).toEqual(false);
	limit.observe(5000 as MonotonicMs);
	expect(limit.admit(createSocket(), 5500 as MonotonicMs)).toEqual(false);
	expect(limit.admit(createSocket(), 6500 as MonotonicMs)).toEqual(true);
	expect([active.isClosed, served.isClosed]).toEqual([true, undefined]);
});

test('guards against counting closed connections', () => {
	const limit = createLimit();
	const socket = createSocket();
	limit.admit(socket, 0 as MonotonicMs);
	socket.emit('close');
	expect([limit.count, limit.isObserving]).toEqual([0, false]);
});
