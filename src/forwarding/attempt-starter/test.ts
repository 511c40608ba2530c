import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createRoute, createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import {sendRawRequest} from '../../fixtures/send-raw-request/index.js';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import {startTestGateway} from '../../fixtures/start-test-gateway/index.js';
import type {CallKind} from '../../routing/routing-types/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';

/** Sends a call to a target that answers with `status`; returns the status line of its answer and how long that took, in milliseconds. */
async function sendCall(t: TestContext, kind: CallKind, status: string, changes: Partial<ForwardingContext> = {}) {
	const target = await startRawServer((socket, head) => {
		socket.write(`HTTP/1.1 ${status}\r\nx-id: ${/x-id: (\S+)/u.exec(head)?.[1]}\r\nContent-Length: 2\r\n\r\nok`);
	});
	const configuration = createRoutingConfiguration({routes: [createRoute('r', {host: 'h', kind, timeoutMs: 2000})]});
	const description = createDescription('t0', {address: target.address, weightsVersions: new Map()});
	const gateway = await startTestGateway(configuration, [description], changes);
	t.after(() => {
		gateway.close();
		target.close();
	});
	const startedAt = performance.now();
	const {head} = await sendRawRequest(gateway.address, 'POST /x HTTP/1.1\r\nHost: h\r\nx-id: c1\r\nContent-Length: 4\r\n\r\nbody');
	return {statusLine: head.split('\r\n')[0], durationMs: performance.now() - startedAt};
}

for (const kind of ['idempotent', 'nonIdempotent', 'streaming'] as const) {
	test(`guards against a caller that waits until its deadline and gets no answer when the head of a target's answer can't be passed on (${kind})`, async t => {
		const {statusLine, durationMs} = await sendCall(t, kind, '099 Odd');
		expect([statusLine, durationMs < 1000]).toEqual(['HTTP/1.1 502 Bad Gateway', true]);
	});

	test(`guards against a call that stays open until its deadline after an unexpected error when it is sent or admitted (${kind})`, async t => {
		const fail = () => {
			throw new Error('failed on purpose');
		};

		const onSend = await sendCall(t, kind, '200 OK', {listCacheStores: fail});
		expect([onSend.statusLine, onSend.durationMs < 1000]).toEqual(['HTTP/1.1 500 Internal Server Error', true]);
		const onAdmission = await sendCall(t, kind, '200 OK', {quota: {charge: async () => fail(), refund: fail}, findService: fail});
		expect([onAdmission.statusLine, onAdmission.durationMs < 1000]).toEqual(['HTTP/1.1 500 Internal Server Error', true]);
	});
}

for (const kind of ['idempotent', 'nonIdempotent'] as const) {
	test(`guards against a call that waits until its deadline because its target switches protocols (${kind})`, async t => {
		const {statusLine, durationMs} = await sendCall(t, kind, '101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x');
		expect([statusLine, durationMs < 1000]).toEqual(['HTTP/1.1 502 Bad Gateway', true]);
	});
}
