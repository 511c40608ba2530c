import {describe, test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {ManualClock} from '../../clock/manual-clock/index.js';
import type {
	DataCentreId, FleetId, InstanceId, Revision, WallMs,
} from '../../identity/ids/index.js';
import {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import {createLogger} from '../../logging/create-logger/index.js';
import {FakePeerNetwork} from '../../peers/fake-peer-network/index.js';
import type {ListedInstance} from '../../store/instance-list/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import {Membership} from './index.js';

type FleetOptions = {readonly seeds?: readonly string[]; readonly listed?: readonly ListedInstance[]; readonly seed?: number};

class TestFleet {
	readonly clock = new ManualClock(1000);
	readonly network = new FakePeerNetwork(this.clock);
	readonly members = new Map<string, Membership>();
	private nextSeed: number;

	constructor(private readonly options: FleetOptions = {}) {
		this.nextSeed = options.seed ?? 1;
	}

	start(id: string, wallOffsetMs = 0): Membership {
		const endpoint = this.network.open(id as InstanceId);
		const {clock, options} = this;
		const identity = {
			id: id as InstanceId, fleet: 'north' as FleetId, region: 'east', dataCentre: `dc-${id.codePointAt(0)! % 3}` as DataCentreId,
			peerAddress: id, callerAddress: `${id}-caller`,
		};
		const member = new Membership({
			identity,
			clock: {
				readMonotonic: () => clock.readMonotonic(),
				readWall: () => clock.readWall() + wallOffsetMs as WallMs,
				sleep: async (ms, signal) => clock.sleep(ms, signal),
			},
			caller: endpoint, registry: endpoint,
			seeds: options.seeds ?? ['a', 'b'],
			instanceList: options.listed === undefined ? undefined : {read: async () => options.listed!},
			random: new RandomSource(this.nextSeed), logger: createLogger({}, true),
			invariants: new InvariantChecker({isStrict: true}),
			readRevision: () => 1 as Revision,
		});
		this.nextSeed += 1;
		this.members.set(id, member);
		member.start();
		return member;
	}

	crash(id: string): void {
		this.members.get(id)?.stop();
		this.members.delete(id);
		this.network.remove(id as InstanceId);
	}

	setPartitioned(from: string, to: string, isPartitioned: boolean): void {
		this.network.setPartitioned(from, to, isPartitioned);
	}

	listLive(id: string): string {
		return this.members.get(id)!.listLive(this.clock.readMonotonic()).map(member => member.id).toSorted().join('');
	}

	listViews(): string[] {
		return [...this.members.keys()].map(id => this.listLive(id));
	}

	stop(): void {
		for (const id of this.members.keys()) {
			this.crash(id);
		}
	}
}

async function createFleet(ids: string, options: FleetOptions = {}): Promise<TestFleet> {
	const fleet = new TestFleet(options);
	for (const id of ids) {
		fleet.start(id);
	}

	await fleet.clock.advance(10_000);
	return fleet;
}

describe('Membership', () => {
	test('guards against a member that looks dead to a peer only because messages between the two are lost', async () => {
		const fleet = await createFleet('abc');
		fleet.setPartitioned('a', 'b', true);
		for (let second = 0; second < 30; second += 1) {
			await fleet.clock.advance(1000);
			expect(fleet.listViews()).toEqual(['abc', 'abc', 'abc']);
		}

		fleet.stop();
	});

	test('guards against a dead member that stays live or is revived by gossip', async () => {
		const fleet = await createFleet('abcdefghi');
		fleet.crash('c');
		await fleet.clock.advance(5001);
		for (let second = 0; second < 60; second += 1) {
			expect(new Set(fleet.listViews())).toEqual(new Set(['abdefghi']));
			await fleet.clock.advance(1000);
		}

		fleet.stop();
	});

	test('guards against a member that looks dead although its entries arrive in messages other than heartbeats', async () => {
		const fleet = await createFleet('abc');
		const [a, b] = [fleet.members.get('a')!, fleet.members.get('b')!];
		fleet.setPartitioned('a', 'b', true);
		fleet.setPartitioned('a', 'c', true);
		fleet.setPartitioned('b', 'a', true);
		fleet.setPartitioned('c', 'a', true);
		for (let second = 0; second < 10; second += 1) {
			await fleet.clock.advance(1000);
			b.applyEntry(a.describeSelf(), fleet.clock.readMonotonic());
			expect(fleet.listLive('b')).toEqual('abc');
		}

		fleet.stop();
	});

	test('guards against a new instance that learns of the members of a large fleet only one by one', async () => {
		const ids = Array.from({length: 40}, (_, index) => String.fromCodePoint(0x4E_00 + index)).join('');
		const fleet = await createFleet(ids, {seeds: [ids[0]!]});
		fleet.start('a');
		await fleet.clock.advance(100);
		expect(fleet.listLive('a').length > 20).toEqual(true);
		fleet.stop();
	});

	test('guards against a simultaneous restart of all instances that leaves members unknown or floods the seeds', async () => {
		const ids = 'abcdefghijklmnopq';
		const fleet = await createFleet(ids);
		for (const id of ids) {
			fleet.crash(id);
		}

		await fleet.clock.advance(1000);
		fleet.network.calls.clear();
		for (const id of ids) {
			fleet.start(id);
		}

		await fleet.clock.advance(5000);
		expect(new Set(fleet.listViews())).toEqual(new Set([ids]));
		await fleet.clock.advance(5000);
		const calls = fleet.network.calls.get('membership.heartbeat') ?? 0;
		// Four calls a second for ten seconds, plus one to each of the two seeds at the start. Intervals vary by a fifth.
		expect(calls / ids.length).toBeLessThan((4 * 10 * 1.25) + 2);
		fleet.stop();
	});

	test('guards against a new instance that takes too long to learn of all members', async () => {
		const fleet = await createFleet('abcdefghijklmnop');
		fleet.start('q');
		await fleet.clock.advance(4000);
		expect(fleet.listLive('q')).toEqual('abcdefghijklmnopq');
		fleet.stop();
	});

	test('guards against a leaving member that others still see as live', async () => {
		const fleet = await createFleet('abcdefghijklmnopq');
		fleet.members.get('d')!.markLeaving();
		await fleet.clock.advance(0);
		const states = [...fleet.members.values()].map(member => member.listLive(fleet.clock.readMonotonic()).find(({id}) => id === 'd')?.state);
		expect(new Set(states)).toEqual(new Set(['leaving']));
		fleet.stop();
	});

	test('guards against an outdated instance list that hides a new instance or keeps a dead one live', async () => {
		const listed = ['a', 'z'].map((id): ListedInstance => ({
			id, role: 'entry', address: id, state: 'live',
		}));
		const fleet = await createFleet('abc', {seeds: [], listed});
		expect(fleet.listViews()).toEqual(['abc', 'abc', 'abc']);
		fleet.stop();
	});

	test('guards against peers that keep the old incarnation of a restarted instance whose clock was set back', async () => {
		const fleet = await createFleet('abc');
		const before = fleet.members.get('c')!.readSelf().incarnation;
		fleet.crash('c');
		await fleet.clock.advance(1000);
		const restartedMember = fleet.start('c', -11_500);
		await fleet.clock.advance(3000);
		const seen = fleet.members.get('a')!.listLive(fleet.clock.readMonotonic()).find(member => member.id === 'c');
		expect(seen?.incarnation).toEqual(restartedMember.readSelf().incarnation);
		expect(restartedMember.readSelf().incarnation > before).toEqual(true);
		fleet.stop();
	});

	test('guards against a paused peer that stays live, or does not become live again after the pause', async () => {
		const fleet = await createFleet('abcd');
		const others = ['a', 'b', 'c'];
		const setPaused = (isPaused: boolean) => {
			for (const other of others) {
				fleet.setPartitioned('d', other, isPaused);
				fleet.setPartitioned(other, 'd', isPaused);
			}
		};

		setPaused(true);
		await fleet.clock.advance(8000);
		expect(others.map(id => fleet.listLive(id))).toEqual(['abc', 'abc', 'abc']);
		setPaused(false);
		await fleet.clock.advance(8000);
		expect(fleet.listViews()).toEqual(['abcd', 'abcd', 'abcd', 'abcd']);
		fleet.stop();
	});

	test('guards against views that do not converge after any sequence of network cuts, crashes and restarts', async () => {
		const id = fc.constantFrom(...'abcdef');
		const step = fc.oneof(
			fc.record({kind: fc.constantFrom('cut', 'heal'), from: id, to: id}),
			fc.record({kind: fc.constantFrom('crash', 'restart'), from: id, to: id}),
			fc.record({kind: fc.constant('wait'), from: id, to: id}),
		);
		await fc.assert(fc.asyncProperty(fc.array(step, {maxLength: 25}), fc.nat(1000), async (steps, seed) => {
			const fleet = await createFleet('abcdef', {seed, seeds: ['a', 'b', 'c', 'd', 'e', 'f']});
			for (const {kind, from, to} of steps) {
				await runStep(fleet, kind, from, to);
			}

			for (const from of 'abcdef') {
				for (const to of 'abcdef') {
					fleet.setPartitioned(from, to, false);
				}
			}

			await fleet.clock.advance(15_000);
			const expected = [...fleet.members.keys()].toSorted().join('');
			expect(fleet.listViews()).toEqual([...fleet.members.keys()].map(() => expected));
			fleet.stop();
		}), {seed: 20_261, numRuns: Number(process.env.MEMBERSHIP_RUNS ?? 30)});
	});
});

async function runStep(fleet: TestFleet, kind: string, from: string, to: string): Promise<void> {
	switch (kind) {
		case 'cut':
		case 'heal': {
			fleet.setPartitioned(from, to, kind === 'cut');

			break;
		}

		case 'crash': {
			fleet.crash(from);

			break;
		}

		case 'restart': {
			fleet.crash(from);
			fleet.start(from);

			break;
		}
	// No default
	}

	await fleet.clock.advance(700);
}
