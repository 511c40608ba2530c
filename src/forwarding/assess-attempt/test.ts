import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {test} from 'node:test';
import {expect} from 'earl';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createRoute, createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import {startTestGateway} from '../../fixtures/start-test-gateway/index.js';
import {parseAddress} from '../../http/parse-address/index.js';

/** More than the buffers of the connections to and from the gateway hold. */
const eventCount = 600;
const eventBytes = 64 * 1024;
/** Time without reading; longer than the time after which a silent target is left. */
const callerPauseMs = 2500;

test('guards against taking a target for stalled that is paused because the caller does not read', async t => {
	let runs = 0;
	const servers = await Promise.all([0, 1].map(async () => startRawServer((socket, head) => {
		runs += 1;
		socket.write(`HTTP/1.1 200 OK\r\nx-id: ${/x-id: (\S+)/u.exec(head)?.[1]}\r\nTransfer-Encoding: chunked\r\n\r\n`);
		for (let id = 1; id <= eventCount; id += 1) {
			const event = `id: ${id}\ndata: ${'x'.repeat(eventBytes)}\n\n`;
			socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
		}

		socket.write('0\r\n\r\n');
	})));
	const route = createRoute('r', {
		host: 'h', kind: 'streaming', isResumable: true, timeoutMs: 10_000, maximumAttempts: 4,
	});
	const descriptions = servers.map(({address}, index) => createDescription(`t${index}`, {address, weightsVersions: new Map()}));
	const gateway = await startTestGateway(createRoutingConfiguration({routes: [route]}), descriptions);
	const {host, port} = parseAddress(gateway.address);
	const caller = connect(port, host);
	t.after(() => {
		caller.destroy();
		gateway.close();
		for (const server of servers) {
			server.close();
		}
	});
	caller.write('POST /x HTTP/1.1\r\nHost: h\r\nx-id: c1\r\nx-wait: 9000\r\nContent-Length: 4\r\n\r\nbody');
	await delay(callerPauseMs);
	const chunks: Buffer[] = [];
	await new Promise<void>(resolve => {
		caller.on('data', data => {
			chunks.push(data);
			if (data.toString('latin1').endsWith('\n0\r\n\r\n')) {
				resolve();
			}
		});
		caller.on('close', () => {
			resolve();
		});
	});
	const received = Buffer.concat(chunks).toString('latin1');
	const ids = [...received.matchAll(/^id: (\d+)$/gmu)].map(match => Number(match[1]));
	expect(ids.every((id, index) => id === index + 1)).toEqual(true);
	expect([ids.length, runs, gateway.reports.at(-1)?.attempts]).toEqual([eventCount, 1, 1]);
});
