import process from 'node:process';
import {test} from 'node:test';
import fc from 'fast-check';
import {expect} from 'earl';
import {
	createKey, createModel, createOrganisation, createTarget,
} from '../../fixtures/create-resources/index.js';
import {FakeFleet} from '../../fixtures/fake-fleet/index.js';
import {hashKey} from '../../keys/hash-key/index.js';
import type {Configuration} from '../configuration/index.js';
import {splitConfiguration} from '../split-configuration/index.js';

const nodeCount = 5;
const keyCount = 6;
const seeds = (process.env.MODEL_SEEDS ?? '2,3').split(',').map(Number);
const runCount = Number(process.env.MODEL_RUNS ?? 30);

const nodeIndex = fc.nat(nodeCount - 1);
const actionArbitrary = fc.oneof(
	{weight: 3, arbitrary: fc.record({type: fc.constant('raiseRate' as const)})},
	{weight: 2, arbitrary: fc.record({type: fc.constant('withdraw' as const), key: fc.nat(keyCount - 1), isDeleted: fc.boolean()})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('collide' as const), isOn: fc.boolean()})},
	{weight: 2, arbitrary: fc.record({type: fc.constant('lead' as const), node: nodeIndex, isOn: fc.boolean()})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('silence' as const), node: nodeIndex, collection: fc.constantFrom('keys', 'organisations', undefined)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('cutPeers' as const), node: nodeIndex, isOn: fc.boolean()})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('cutStore' as const), node: nodeIndex, isOn: fc.boolean()})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('storeDown' as const), isOn: fc.boolean()})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('slow' as const), node: nodeIndex, delayMs: fc.constantFrom(0, 40, 700)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('lose' as const), node: nodeIndex, every: fc.constantFrom(0, 1, 2, 3)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('restart' as const), node: nodeIndex})},
	{weight: 4, arbitrary: fc.record({type: fc.constant('advance' as const), ms: fc.constantFrom(20, 60, 200, 1000, 3000)})},
);

type Action = typeof actionArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

/** Runs one sequence of actions. Operators only raise a rate and withdraw keys, so that any regression to an older content is detectable. */
class ModelRun {
	private readonly fleet = new FakeFleet(nodeCount);
	private rate = 1000;

	async run(actions: readonly Action[]): Promise<void> {
		const keys = Array.from({length: keyCount}, (_, index) => createKey({name: `key-${index}`, sha256: hashKey(`secret-${index}`)}));
		await this.fleet.write(createOrganisation({tokensPerSecond: this.rate}), createModel(), createTarget(), ...keys);
		this.fleet.start();
		await this.fleet.advance(500);
		for (const action of actions) {
			await this.perform(action);
			await this.fleet.advance(10);
		}

		await this.clearFaults();
		this.checkFinalState();
		for (const node of this.fleet.nodes) {
			node.stop();
		}

		await this.fleet.advance(20);
	}

	private async perform(action: Action): Promise<void> {
		const {fleet} = this;
		const node = 'node' in action ? fleet.nodes[action.node]! : fleet.nodes[0]!;
		switch (action.type) {
			case 'raiseRate': {
				this.rate += 1;
				return this.tryWrite(async () => fleet.write(createOrganisation({tokensPerSecond: this.rate})));
			}

			case 'withdraw': {
				const key = createKey({name: `key-${action.key}`, sha256: hashKey(`secret-${action.key}`), state: 'withdrawn'});
				return this.tryWrite(async () => action.isDeleted ? fleet.api.remove('keys', `almaty.key-${action.key}`) : fleet.write(key));
			}

			case 'collide': {
				return this.tryWrite(async () => action.isOn ? fleet.write(createModel({fleet: 'ceara'})) : fleet.api.remove('models', 'ceara.assistant'));
			}

			case 'lead': {
				node.isLeader = action.isOn;
				return;
			}

			case 'silence': {
				node.store.silenceWatches(action.collection);
				return;
			}

			case 'cutPeers': {
				fleet.partitionedInstances[action.isOn ? 'add' : 'delete'](node.id);
				return;
			}

			case 'cutStore': {
				node.store.isCut = action.isOn;
				return;
			}

			case 'storeDown': {
				fleet.api.setDown(action.isOn);
				return;
			}

			case 'slow': {
				node.store.delayMs = action.delayMs;
				return;
			}

			case 'lose': {
				let writes = 0;
				node.store.losesAnswer = () => {
					writes += 1;
					return action.every > 0 && writes % action.every === 0;
				};

				return;
			}

			case 'restart': {
				const {isLeader} = node;
				const next = fleet.restart(action.node);
				next.isLeader = isLeader;
				next.start();
				return;
			}

			case 'advance': {
				return fleet.advance(action.ms);
			}
		}
	}

	/** Performs an operator's write, which may fail because the store is down or the object no longer exists. */
	private async tryWrite(write: () => Promise<void>): Promise<void> {
		try {
			await write();
		} catch {
			// The operator sees the failure, and the run continues.
		}
	}

	private async clearFaults(): Promise<void> {
		const {fleet} = this;
		fleet.api.setDown(false);
		fleet.partitionedInstances.clear();
		for (const [index, node] of fleet.nodes.entries()) {
			Object.assign(node.store, {isCut: false, delayMs: 0, losesAnswer: undefined});
			node.isLeader = index === 1;
		}

		await this.tryWrite(async () => fleet.api.remove('models', 'ceara.assistant'));
		this.rate += 1;
		await fleet.write(createOrganisation({tokensPerSecond: this.rate}));
		await fleet.advance(12_000);
	}

	private checkFinalState(): void {
		const {nodes, applied} = this.fleet;
		expect(nodes.map(node => node.follower.readConfiguration().data.organisations[0]?.tokensPerSecond)).toEqual(nodes.map(() => this.rate));
		expect(nodes.flatMap(node => [...node.invariants.violations.keys()])).toEqual([]);
		for (const node of nodes) {
			expect(node.applied.every((revision, index) => index === 0 || revision > node.applied[index - 1]!)).toEqual(true);
		}

		checkContents(applied);
	}
}

/** Checks that each revision has one content, and that no later revision lowers the rate or reactivates a withdrawn key. */
function checkContents(applied: readonly Configuration[]): void {
	const contentByRevision = new Map<number, string>();
	for (const configuration of applied) {
		const content = [...splitConfiguration(configuration.data).keys()].join(' ');
		expect(contentByRevision.get(configuration.revision) ?? content).toEqual(content);
		contentByRevision.set(configuration.revision, content);
	}

	const sorted = applied.toSorted((a, b) => a.revision - b.revision);
	for (const [index, later] of sorted.entries()) {
		const earlier = sorted[index - 1] ?? later;
		expect(readRate(later)).toBeGreaterThanOrEqual(readRate(earlier));
		const reactivated = listActiveKeys(later).filter(name => !listActiveKeys(earlier).includes(name));
		expect(reactivated).toEqual([]);
	}
}

function readRate(configuration: Configuration): number {
	return configuration.data.organisations[0]?.tokensPerSecond ?? 0;
}

function listActiveKeys(configuration: Configuration): string[] {
	return configuration.data.keys.filter(key => key.state === 'active').map(key => key.name);
}

for (const seed of seeds) {
	test(`guards against regressions to an older configuration with concurrent writers, acceptors and followers under faults (seed ${seed}, ${runCount} runs)`, async () => {
		const property = fc.asyncProperty(fc.array(actionArbitrary, {minLength: 10, maxLength: 60}), async actions => new ModelRun().run(actions));
		await fc.assert(property, {seed, numRuns: runCount, endOnFailure: true});
	});
}
