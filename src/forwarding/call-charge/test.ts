import {test} from 'node:test';
import {expect} from 'earl';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createOrganisation, createRoute, createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import {sendRawRequest} from '../../fixtures/send-raw-request/index.js';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import {startTestGateway} from '../../fixtures/start-test-gateway/index.js';
import {hashKey} from '../../keys/hash-key/index.js';
import type {QuotaGate} from '../forwarding-context/index.js';
import {CallCharge} from './index.js';

const quota = {
	tokensPerSecond: 1, burstTokens: 1, plainCallTokens: 200, countsTokens: true,
};
const work = {
	model: 'm', promptTokens: 1460, maximumOutputTokens: 80, parts: [],
};

/** Records charges and, as negative numbers, refunds. */
function createGate(hasTokens: boolean): {gate: QuotaGate; log: number[]} {
	const log: number[] = [];
	const gate: QuotaGate = {
		async charge(_organisation, tokens) {
			log.push(tokens);
			return hasTokens;
		},
		refund(_organisation, tokens) {
			log.push(-tokens);
		},
	};
	return {gate, log};
}

test('charges prompt and output tokens, or the fixed tokens of a plain call', async () => {
	const {gate, log} = createGate(true);
	await new CallCharge(gate, createOrganisation('o', {quota}), work).charge();
	await new CallCharge(gate, createOrganisation('o', {quota}), undefined).charge();
	await new CallCharge(gate, createOrganisation('o', {quota: {...quota, countsTokens: false, plainCallTokens: 1}}), work).charge();
	expect(log).toEqual([1540, 200, 1]);
});

test('guards against refunds of calls that were not admitted or are already refunded', async () => {
	const exhausted = createGate(false);
	const charge = new CallCharge(exhausted.gate, createOrganisation('o', {quota}), work);
	expect(await charge.charge()).toEqual(false);
	charge.refund();
	expect(exhausted.log).toEqual([1540]);
	const available = createGate(true);
	const admitted = new CallCharge(available.gate, createOrganisation('o', {quota}), work);
	await admitted.charge();
	admitted.refund();
	admitted.refund();
	expect(available.log).toEqual([1540, -1540]);
});

test('admits calls without an organisation or a quota', async () => {
	const {gate, log} = createGate(false);
	expect(await new CallCharge(gate, undefined, work).charge()).toEqual(true);
	expect(await new CallCharge(gate, createOrganisation('o'), work).charge()).toEqual(true);
	expect(log).toEqual([]);
});

test('guards against a refund of a call that one target may have run, because the others refuse it', async t => {
	let requests = 0;
	const {gate, log} = createGate(true);
	const servers = await Promise.all([0, 1].map(async () => startRawServer((socket, head) => {
		requests += 1;
		if (requests === 1) {
			socket.destroy();
		} else {
			const id = /x-id: (\S+)/u.exec(head)?.[1];
			socket.write(`HTTP/1.1 503 Busy\r\nx-not-run: true\r\nx-id: ${id}\r\nContent-Length: 2\r\n\r\nno`);
		}
	})));
	const configuration = createRoutingConfiguration({
		routes: [createRoute('r', {
			host: 'h', kind: 'idempotent', maximumAttempts: 2, latencyGoalMs: 200,
		})],
		organisations: [createOrganisation('o', {keyHashes: [hashKey('key')], quota})],
	});
	const descriptions = servers.map(({address}, index) => createDescription(`t${index}`, {address, weightsVersions: new Map()}));
	const gateway = await startTestGateway(configuration, descriptions, {quota: gate});
	t.after(() => {
		gateway.close();
		for (const server of servers) {
			server.close();
		}
	});
	const {head} = await sendRawRequest(gateway.address, 'POST /x HTTP/1.1\r\nHost: h\r\nx-id: c1\r\nx-key: key\r\nContent-Length: 4\r\n\r\nbody');
	expect([head.split(' ')[1], requests > 1, log]).toEqual(['502', true, [200]]);
});
