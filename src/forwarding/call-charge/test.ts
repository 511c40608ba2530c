import {test} from 'node:test';
import {expect} from 'earl';
import {createOrganisation} from '../../fixtures/create-routing-configuration/index.js';
import type {QuotaGate} from '../forwarding-context/index.js';
import {CallCharge} from './index.js';

const quota = {
	tokensPerSecond: 1, burstTokens: 1, plainCallTokens: 200, countsTokens: true,
};
const work = {
	model: 'm', promptTokens: 1460, maximumOutputTokens: 80, parts: [],
};

/** A gate that keeps a record of charges and, as negative numbers, of refunds. */
function createGate(isOpen: boolean): {gate: QuotaGate; log: number[]} {
	const log: number[] = [];
	const gate: QuotaGate = {
		async charge(_organisation, tokens) {
			log.push(tokens);
			return isOpen;
		},
		refund(_organisation, tokens) {
			log.push(-tokens);
		},
	};
	return {gate, log};
}

test('charges prompt and generated tokens, or the fixed tokens of a plain call', async () => {
	const {gate, log} = createGate(true);
	await new CallCharge(gate, createOrganisation('o', {quota}), work).charge();
	await new CallCharge(gate, createOrganisation('o', {quota}), undefined).charge();
	await new CallCharge(gate, createOrganisation('o', {quota: {...quota, countsTokens: false, plainCallTokens: 1}}), work).charge();
	expect(log).toEqual([1540, 200, 1]);
});

test('guards against a refund of what was never charged, or a second one', async () => {
	const refused = createGate(false);
	const charge = new CallCharge(refused.gate, createOrganisation('o', {quota}), work);
	expect(await charge.charge()).toEqual(false);
	charge.refund();
	expect(refused.log).toEqual([1540]);
	const open = createGate(true);
	const charged = new CallCharge(open.gate, createOrganisation('o', {quota}), work);
	await charged.charge();
	charged.refund();
	charged.refund();
	expect(open.log).toEqual([1540, -1540]);
});

test('admits calls without an organisation or a quota', async () => {
	const {gate, log} = createGate(false);
	expect(await new CallCharge(gate, undefined, work).charge()).toEqual(true);
	expect(await new CallCharge(gate, createOrganisation('o'), work).charge()).toEqual(true);
	expect(log).toEqual([]);
});
