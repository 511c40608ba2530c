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

async function readOutcome(operation: Promise<{action: string}>): Promise<string> {
	try {
		const {action} = await operation;
		return action;
	} catch (error) {
		return convertToCliError(error).reason;
	}
}

describe('applyResource', () => {
	test('guards against a write that fails or is repeated because its response was lost', async () => {
		const api = new FaultyObjectApi(new MemoryObjectApi(), new ManualClock());
		api.losesAnswer = () => true;
		const actions = [
			await readOutcome(applyResource(api, {resource: createOrganisation()})),
			await readOutcome(applyResource(api, {resource: createOrganisation({weight: 2})})),
			await readOutcome(applyResource(api, {resource: createOrganisation({weight: 2})})),
		];
		expect([actions, api.writes.length] as unknown).toEqual([['created', 'updated', 'unchanged'], 2]);
	});

	test('guards against two operators whose concurrent updates both report success', async () => {
		for (let faultyIndex = 0; faultyIndex < 2; faultyIndex += 1) {
			const memory = new MemoryObjectApi();
			const operators = [0, 1].map(() => new FaultyObjectApi(memory, new ManualClock()));
			operators[faultyIndex]!.losesAnswer = () => true;
			await applyResource(memory, {resource: createOrganisation()});
			const outcomes = await Promise.all(operators.map(async (api, index) => readOutcome(applyResource(api, {
				resource: createOrganisation({weight: 10 + index}),
			}))));
			const {value} = await memory.get<{weight: number}>('organisations', 'almaty.studio');
			expect(outcomes.toSorted()).toEqual(['conflict', 'updated']);
			expect(value.weight).toEqual(10 + outcomes.indexOf('updated'));
		}
	});

	test('guards against a file that was read at an old version and overwrites a newer one', async () => {
		const api = new MemoryObjectApi();
		const {resourceVersion} = await applyResource(api, {resource: createOrganisation()});
		await applyResource(api, {resource: createOrganisation({weight: 2})});
		expect(await readOutcome(applyResource(api, {resource: createOrganisation({weight: 3}), expected: resourceVersion}))).toEqual('conflict');
		expect(await readOutcome(applyResource(api, {resource: createOrganisation({name: 'gone'}), expected: '1' as ResourceVersion}))).toEqual('conflict');
	});
});

describe('keys', () => {
	test('guards against a secret in the store, and against a withdrawal that fails after a lost response', async () => {
		const api = new FaultyObjectApi(new MemoryObjectApi(), new ManualClock());
		api.losesAnswer = () => true;
		const label = {fleet: 'almaty', name: 'first', organisation: 'studio'};
		const {secret} = await createKey(api, label);
		const {value} = await api.get<{sha256: string}>('keys', 'almaty.first');
		expect([value.sha256, JSON.stringify(value).includes(secret)]).toEqual([hashKey(secret), false]);
		await withdrawKey(api, label);
		const {value: withdrawn} = await api.get<{state: string}>('keys', 'almaty.first');
		expect(withdrawn.state).toEqual('withdrawn');
		expect(await readOutcome(createKey(api, label).then(({applied}) => applied))).toEqual('conflict');
	});
});
