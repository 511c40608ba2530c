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
