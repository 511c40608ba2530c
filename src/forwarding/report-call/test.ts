import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createRoute, createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import {sendRawRequest} from '../../fixtures/send-raw-request/index.js';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import {startTestGateway, type TestGateway} from '../../fixtures/start-test-gateway/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import type {Revision} from '../../identity/ids/index.js';
import type {LogFields} from '../../logging/create-logger/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import type {Route} from '../../routing/routing-types/index.js';

/** Time for which the target sends events, in milliseconds. */
const eventsMs = 200;
const streamingRoute = createRoute('r', {host: 'h', kind: 'streaming', timeoutMs: 500});
const requestHead = 'POST /x HTTP/1.1\r\nHost: h\r\nx-id: c1\r\nContent-Length: 4\r\n';

/** A gateway with one target, and the lines of ended calls. */
type LoggedGateway = {readonly gateway: TestGateway; readonly lines: readonly LogFields[]};

/** Starts a gateway whose only target sends `events` events of 1 byte, the first at once and the last after `eventsMs`, and is then silent. */
async function startLoggedGateway(t: TestContext, route: Route, events: number): Promise<LoggedGateway> {
	const lines: LogFields[] = [];
	const logger = {
		...quietLogger,
		info(event: string, fields: LogFields = {}) {
			if (event === 'call finished') {
				lines.push(fields);
			}
		},
	};
	const target = await startRawServer((socket, head) => {
		for (let event = 0; event < events; event += 1) {
			setTimeout(() => {
				const answerHead = event === 0 ? `HTTP/1.1 200 OK\r\nx-id: ${/x-id: (\S+)/u.exec(head)?.[1]}\r\nTransfer-Encoding: chunked\r\n\r\n` : '';
				socket.write(`${answerHead}1\r\n:\r\n`);
			}, event * eventsMs / Math.max(1, events - 1));
		}
	});
	const description = createDescription('t0', {address: target.address, weightsVersions: new Map()});
	const gateway = await startTestGateway(createRoutingConfiguration({routes: [route]}), [description], {logger});
	t.after(() => {
		gateway.close();
		target.close();
	});
	return {gateway, lines};
}

/** Sends a call and waits for the end of its connection. */
async function sendCall({address}: TestGateway, header = ''): Promise<void> {
	const socket = connect(parseAddress(address));
	socket.on('error', () => undefined);
	socket.write(`${requestHead}${header}\r\nbody`);
	await new Promise<void>(resolve => {
		socket.once('close', () => {
			resolve();
		});
		socket.resume();
	});
}

/** Whether the silence in a line is the time from the given stage to the end of the call; each time is rounded. */
function isSilentSince(line: LogFields | undefined, stage: 'lastMs' | 'sentMs'): boolean {
	return Math.abs(Number(line?.silentMs) - (Number(line?.durationMs) - Number(line?.[stage]))) <= 2;
}

test('guards against an answer cut at its deadline whose line tells neither the timeout nor the silence of its target', async t => {
	const {gateway, lines} = await startLoggedGateway(t, streamingRoute, 3);
	await sendCall(gateway);
	const [line] = lines;
	expect([line?.outcome, line?.route, line?.timeoutMs]).toEqual(['targetTimeout', 'r', 500]);
	expect(isSilentSince(line, 'lastMs')).toEqual(true);
});

test('guards against a line with the timeout at arrival after a configuration has raised it, or one longer than the caller waits', async t => {
	const {gateway, lines} = await startLoggedGateway(t, streamingRoute, 3);
	const ended = sendCall(gateway);
	await delay(300);
	gateway.apply(createRoutingConfiguration({revision: 2 as Revision, routes: [{...streamingRoute, timeoutMs: 800}]}));
	await ended;
	await sendCall(gateway, 'x-wait: 400\r\n');
	expect(lines.map(({outcome, timeoutMs}) => [outcome, timeoutMs])).toEqual([['targetTimeout', 800], ['targetTimeout', 400]]);
});

test('guards against a call answered at its deadline whose line does not tell that its target sent nothing', async t => {
	const {gateway, lines} = await startLoggedGateway(t, {...streamingRoute, kind: 'nonIdempotent'}, 0);
	await sendRawRequest(gateway.address, `${requestHead}\r\nbody`);
	const [line] = lines;
	expect([line?.outcome, line?.status, line?.timeoutMs]).toEqual(['targetTimeout', 504, 500]);
	expect(isSilentSince(line, 'sentMs')).toEqual(true);
});
