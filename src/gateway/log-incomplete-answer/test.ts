import {on} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createRoute, createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import {startTestGateway} from '../../fixtures/start-test-gateway/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import type {Revision} from '../../identity/ids/index.js';
import type {LogFields} from '../../logging/create-logger/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';

const route = createRoute('r', {host: 'h', kind: 'streaming', timeoutMs: 400});

/** Events that tell of the end of a connection. */
const endEvents = new Set(['answer not completed', 'connection without a valid request']);

/** Sends a call whose target begins a stream and goes silent, and collects the log lines of the end of its connection. */
async function collectLines(t: TestContext, end: (socket: Socket) => void): Promise<LogFields[]> {
	const lines: LogFields[] = [];
	const logger = {
		...quietLogger,
		info(event: string, fields: LogFields = {}) {
			if (endEvents.has(event)) {
				lines.push({event, ...fields});
			}
		},
	};
	const target = await startRawServer((socket, head) => {
		socket.write(`HTTP/1.1 200 OK\r\nx-id: ${/x-id: (\S+)/u.exec(head)?.[1]}\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nid: 1\nda\n\r\n`);
	});
	const description = createDescription('t0', {address: target.address, weightsVersions: new Map()});
	const gateway = await startTestGateway(createRoutingConfiguration({routes: [route]}), [description], {logger});
	t.after(() => {
		gateway.close();
		target.close();
	});
	const socket = connect(parseAddress(gateway.address));
	socket.on('error', () => undefined);
	socket.write('POST /x HTTP/1.1\r\nHost: h\r\nx-id: c1\r\nContent-Length: 4\r\n\r\nbody');
	await readFirstEvent(socket);
	gateway.apply(createRoutingConfiguration({revision: 2 as Revision, routes: [route]}));
	end(socket);
	await delay(600);
	socket.destroy();
	return lines;
}

/** Waits until the first event has arrived; a caller that closes its connection earlier resets it. */
async function readFirstEvent(socket: Socket): Promise<void> {
	let received = '';
	for await (const [data] of on(socket, 'data')) {
		received += String(data);
		if (received.includes('id: 1')) {
			return;
		}
	}
}

test('guards against a cut by this instance that the logs do not tell from a caller that left', async t => {
	const expected = {
		event: 'answer not completed', id: 'c1', requestRead: true, headSent: true, revision: 1, revisionAtEnd: 2,
	};
	const byInstance = await collectLines(t, () => undefined);
	expect(byInstance).toEqual([{...expected, endedBy: 'instance', durationMs: expect.a(Number)}]);
	const byInstanceAfterEnd = await collectLines(t, socket => {
		socket.end();
	});
	expect(byInstanceAfterEnd).toEqual([{...expected, endedBy: 'instance', durationMs: expect.a(Number)}]);
	const byCaller = await collectLines(t, socket => {
		socket.destroy();
	});
	expect(byCaller).toEqual([{...expected, endedBy: 'caller', durationMs: expect.a(Number)}]);
	const byReset = await collectLines(t, socket => {
		socket.resetAndDestroy();
	});
	expect(byReset).toEqual([{...expected, endedBy: 'failure', durationMs: expect.a(Number)}]);
});
