import {describe, test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {createOrganisation} from '../../fixtures/create-resources/index.js';
import {FaultyObjectApi} from '../../fixtures/faulty-object-api/index.js';
import type {ResourceVersion} from '../../identity/ids/index.js';
import {hashKey} from '../../keys/hash-key/index.js';
import {MemoryObjectApi} from '../../store/memory-object-api/index.js';
import {convertToCliError} from '../cli-error/index.js';
import {createKey, withdrawKey} from '../create-key/index.js';
import {applyResource} from './index.js';

async function settle(work: Promise<{action: string}>): Promise<string> {
	try {
		const {action} = await work;
		return action;
	} catch (error) {
		return convertToCliError(error).reason;
	}
}

describe('applyResource', () => {
	test('guards against a lost answer that is reported as a failure or written twice', async () => {
		const api = new FaultyObjectApi(new MemoryObjectApi(), new ManualClock());
		api.losesAnswer = () => true;
		const actions = [
			await settle(applyResource(api, {resource: createOrganisation()})),
			await settle(applyResource(api, {resource: createOrganisation({weight: 2})})),
			await settle(applyResource(api, {resource: createOrganisation({weight: 2})})),
		];
		expect([actions, api.writes.length] as unknown).toEqual([['created', 'updated', 'unchanged'], 2]);
	});

	test('guards against two operators who race and both believe that they won', async () => {
		for (let lost = 0; lost < 2; lost += 1) {
			const memory = new MemoryObjectApi();
			const operators = [0, 1].map(() => new FaultyObjectApi(memory, new ManualClock()));
			operators[lost]!.losesAnswer = () => true;
			await applyResource(memory, {resource: createOrganisation()});
			const outcomes = await Promise.all(operators.map(async (api, index) => settle(applyResource(api, {
				resource: createOrganisation({weight: 10 + index}),
			}))));
			const {value} = await memory.get<{weight: number}>('organisations', 'almaty.studio');
			expect(outcomes.toSorted()).toEqual(['conflict', 'updated']);
			expect(value.weight).toEqual(10 + outcomes.indexOf('updated'));
		}
	});

	test('guards against a file read at an old version that replaces a newer one', async () => {
		const api = new MemoryObjectApi();
		const {resourceVersion} = await applyResource(api, {resource: createOrganisation()});
		await applyResource(api, {resource: createOrganisation({weight: 2})});
		expect(await settle(applyResource(api, {resource: createOrganisation({weight: 3}), expected: resourceVersion}))).toEqual('conflict');
		expect(await settle(applyResource(api, {resource: createOrganisation({name: 'gone'}), expected: '1' as ResourceVersion}))).toEqual('conflict');
	});
});

describe('keys', () => {
	test('guards against a stored secret and against a withdrawal that gives up', async () => {
		const api = new FaultyObjectApi(new MemoryObjectApi(), new ManualClock());
		api.losesAnswer = () => true;
		const label = {fleet: 'almaty', name: 'first', organisation: 'studio'};
		const {secret} = await createKey(api, label);
		const {value} = await api.get<{sha256: string}>('keys', 'almaty.first');
		expect([value.sha256, JSON.stringify(value).includes(secret)]).toEqual([hashKey(secret), false]);
		await withdrawKey(api, label);
		const {value: withdrawn} = await api.get<{state: string}>('keys', 'almaty.first');
		expect(withdrawn.state).toEqual('withdrawn');
		expect(await settle(createKey(api, label).then(({applied}) => applied))).toEqual('conflict');
	});
});
