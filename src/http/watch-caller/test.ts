import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createRoute, createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import {startTestGateway} from '../../fixtures/start-test-gateway/index.js';
import type {CallKind} from '../../routing/routing-types/index.js';
import {parseAddress} from '../parse-address/index.js';

/** What came of a call whose caller ended its side of the connection. */
type CallEnd = {
	/** Everything that the caller received. */
	readonly received: string;
	readonly outcome: string | undefined;
	readonly durationMs: number;
	/** Requests that reached the target. */
	readonly runs: number;
};

/** How a caller behaves. */
type CallerOptions = {
	readonly kind: CallKind;
	readonly httpVersion?: string;
	/** Time between the request and the end of the caller's side, in milliseconds. */
	readonly endAfterMs: number;
	/** Whether the caller closes its connection and not only its sending side. */
	readonly leaves: boolean;
};

/** Time after which the target answers, in milliseconds. */
const answerAfterMs = 500;

/** Sends a call, ends the caller's side, and waits until the target would have answered. */
async function endCallerSide(t: TestContext, {kind, httpVersion = '1.1', endAfterMs, leaves}: CallerOptions): Promise<CallEnd> {
	let runs = 0;
	const target = await startRawServer((socket, head) => {
		runs += 1;
		setTimeout(() => {
			socket.write(`HTTP/1.1 200 OK\r\nx-id: ${/x-id: (\S+)/u.exec(head)?.[1]}\r\nContent-Length: 4\r\n\r\nbody`);
		}, answerAfterMs);
	});
	const configuration = createRoutingConfiguration({routes: [createRoute('r', {host: 'h', kind})]});
	const gateway = await startTestGateway(configuration, [createDescription('t0', {address: target.address, weightsVersions: new Map()})]);
	t.after(() => {
		gateway.close();
		target.close();
	});
	const socket = connect({...parseAddress(gateway.address), allowHalfOpen: true});
	let received = '';
	socket.on('error', () => undefined);
	socket.on('data', data => {
		received += data.toString('latin1');
	});
	const request = `POST /x HTTP/${httpVersion}\r\nHost: h\r\nx-id: c1\r\nContent-Length: 4\r\n\r\nbody`;
	const endSide = () => {
		if (leaves) {
			socket.destroy();
		} else {
			socket.end();
		}
	};

	if (endAfterMs === 0) {
		// The end follows the request in the kernel, before the gateway has read either.
		socket.write(request, endSide);
	} else {
		socket.write(request);
		setTimeout(endSide, endAfterMs);
	}

	await delay(endAfterMs);
	await delay(answerAfterMs + 400);
	socket.destroy();
	const report = gateway.reports.at(-1);
	return {
		received, outcome: report?.outcome, durationMs: report?.durationMs ?? 0, runs,
	};
}

for (const httpVersion of ['1.0', '1.1']) {
	for (const kind of ['idempotent', 'nonIdempotent', 'streaming'] as const) {
		test(`guards against a caller that gets no answer because it has nothing more to send (HTTP/${httpVersion}, ${kind})`, async t => {
			for (const endAfterMs of [0, 50]) {
				const {received, outcome} = await endCallerSide(t, {
					kind, httpVersion, endAfterMs, leaves: false,
				});
				expect([received.includes('HTTP/1.1 200 OK'), received.includes('body'), outcome]).toEqual([true, true, 'answered']);
			}
		});
	}
}

test('guards against work for a caller that has left, whether it left together with its request or later', async t => {
	const later = await endCallerSide(t, {kind: 'nonIdempotent', endAfterMs: 100, leaves: true});
	expect([later.outcome, later.durationMs < 400]).toEqual(['callerGone', true]);
	const atOnce = await endCallerSide(t, {kind: 'nonIdempotent', endAfterMs: 0, leaves: true});
	expect([atOnce.outcome, atOnce.runs]).toEqual(['callerGone', 0]);
});
