import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {createDescription, testModel} from '../../fixtures/create-fleet-target/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {Incarnation} from '../../identity/ids/index.js';
import {Lease} from '../../leases/lease/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {MemoryObjectApi} from '../../store/memory-object-api/index.js';
import type {EngineCommander, OrderOutcome, WeightsOrder} from '../engine-commander/index.js';
import {calculateOrderPauseMs, rolloutLeaseMs} from '../calculate-order-pause/index.js';
import {RolloutController} from './index.js';

type OutcomeDecision = (target: FleetTarget, order: WeightsOrder) => OrderOutcome;
type SentOrder = {readonly at: number; readonly holder: string; readonly target: string; readonly order: WeightsOrder};

const acceptOrder: OutcomeDecision = () => 'accepted';

/** Fake engines that load weights and record the orders that they get. */
class FakeEngines {
	readonly orders: SentOrder[] = [];
	/** Decides the outcome of an order; accepted orders are carried out. */
	decideOutcome: OutcomeDecision = acceptOrder;
	/** Time that a load takes, in milliseconds. */
	loadMs = 800;
	private readonly acceptedCounts = new Map<string, number>();
	private readonly loads = new Map<string, {version: number; doneAt: number}>();

	constructor(private readonly clock: ManualClock) {}

	createCommander(holder: string): EngineCommander {
		return {
			order: async (target, order) => {
				const id = target.description.id as string;
				const acceptedCount = this.acceptedCounts.get(id) ?? 0;
				this.orders.push({
					at: this.clock.readMonotonic(), holder, target: id, order,
				});
				const outcome = this.findConflict(id, order) ?? this.decideOutcome(target, order);
				if (outcome === 'accepted') {
					this.acceptedCounts.set(id, acceptedCount + 1);
					this.loads.set(id, {version: order.version, doneAt: this.clock.readMonotonic() + this.loadMs});
				}

				return outcome;
			},
			readReport: async target => {
				const load = this.loads.get(target.description.id);
				const isChanging = this.isLoading(target.description.id);
				return {
					versions: new Map([[testModel, load === undefined || isChanging ? 1 : load.version]]),
					acceptedOrders: this.acceptedCounts.get(target.description.id) ?? 0, isChanging,
				};
			},
		};
	}

	/** Finds the outcome of an order that an engine doesn't carry out because of earlier ones. */
	private findConflict(id: string, order: WeightsOrder): OrderOutcome | undefined {
		if (order.expectedOrders !== (this.acceptedCounts.get(id) ?? 0) || this.isLoading(id)) {
			return 'conflict';
		}

		return this.loads.get(id)?.version === order.version ? 'alreadyDone' : undefined;
	}

	private isLoading(id: string): boolean {
		return (this.loads.get(id)?.doneAt ?? 0) > this.clock.readMonotonic();
	}
}

function createEnvironment(engineCount = 6) {
	const clock = new ManualClock();
	const objectApi = new MemoryObjectApi();
	const engines = new FakeEngines(clock);
	const desiredVersions = new Map([[testModel, {version: 1}]]);
	let starts = 0;
	const start = (holder: string) => {
		starts += 1;
		const controller = new AbortController();
		const fleet = new TargetFleet(quietLogger);
		fleet.replace(Array.from({length: engineCount}, (_, index) => createDescription(`e${index}`)), clock.readMonotonic());
		const rollout = new RolloutController({
			clock, logger: quietLogger, fleet, commander: engines.createCommander(holder), listDesiredVersions: () => desiredVersions, isContender: () => true,
			lease: new Lease({
				objectApi, clock, name: 'rollout', holder, incarnation: `${holder}-${starts}` as Incarnation, durationMs: rolloutLeaseMs, maximumReadGapMs: rolloutLeaseMs,
				mayReplaceEarlierIncarnation: true, calculatePauseMs: calculateOrderPauseMs,
			}),
			announce() {
				// No other instance listens in these tests.
			},
		});
		void rollout.run(controller.signal);
		return {
			rollout, fleet,
			kill() {
				controller.abort();
			},
		};
	};

	return {
		clock, engines, desiredVersions, start,
	};
}

test('brings all engines to the announced weights well within the time limit', async () => {
	const {clock, engines, desiredVersions, start} = createEnvironment();
	const {fleet, kill} = start('a');
	await clock.advance(2000);
	desiredVersions.set(testModel, {version: 2});
	await clock.advance(5000);
	expect([...fleet.list()].every(target => target.readVersion(testModel) === 2)).toEqual(true);
	expect(engines.orders.length).toEqual(6);
	kill();
});

test('guards against orders of two holders within a lease duration when the first is killed during a rollout', async () => {
	const {clock, engines, desiredVersions, start} = createEnvironment();
	const first = start('a');
	await clock.advance(2000);
	const second = start('b');
	await clock.advance(2000);
	desiredVersions.set(testModel, {version: 2});
	await clock.advance(500);
	first.kill();
	await clock.advance(9000);
	const lastOrderOfFirst = Math.max(...engines.orders.filter(({holder}) => holder === 'a').map(({at}) => at));
	const firstOrderOfSecond = Math.min(...engines.orders.filter(({holder}) => holder === 'b').map(({at}) => at));
	expect(firstOrderOfSecond - lastOrderOfFirst >= rolloutLeaseMs).toEqual(true);
	expect([...second.fleet.list()].every(target => target.readVersion(testModel) === 2)).toEqual(true);
	second.kill();
});

test('guards against a machine that keeps the lease for ever although each of its processes ends before it renews the lease', async () => {
	const {clock, engines, desiredVersions, start} = createEnvironment();
	let holder = start('a');
	await clock.advance(2000);
	const other = start('b');
	await clock.advance(2000);
	desiredVersions.set(testModel, {version: 2});
	for (let kill = 0; kill < 25; kill += 1) {
		holder.kill();
		await clock.advance(100);
		holder = start('a');
		await clock.advance(400);
	}

	expect(engines.orders.some(order => order.holder === 'b')).toEqual(true);
	holder.kill();
	other.kill();
});

/** Time between the end of a process and the start of the next one on its machine, in milliseconds. */
const restartMs = 700;

test('guards against engines that get no new weights while the process of the holder is killed again and again', async () => {
	const {clock, engines, desiredVersions, start} = createEnvironment();
	let holder = start('a');
	const other = start('b');
	await clock.advance(2000);
	desiredVersions.set(testModel, {version: 2});
	for (let kill = 0; kill < 4; kill += 1) {
		holder.kill();
		await clock.advance(restartMs);
		holder = start('a');
		await clock.advance(2600 - restartMs);
	}

	expect(new Set(engines.orders.map(({target}) => target)).size).toEqual(6);
	expect(engines.orders.every(order => order.holder === 'a')).toEqual(true);
	holder.kill();
	other.kill();
});

test('guards against orders of two holders within a lease duration when the second one is killed, or stopped, in its pause', async () => {
	for (const isStopped of [false, true]) {
		const {clock, engines, desiredVersions, start} = createEnvironment();
		const first = start('a');
		await clock.advance(2000);
		const second = start('b');
		await clock.advance(1900);
		desiredVersions.set(testModel, {version: 2});
		await clock.advance(700);
		first.kill();
		while (!(second.rollout.dump() as {isHolder: boolean}).isHolder) {
			await clock.advance(50);
		}

		const acquiredAt = clock.readMonotonic();
		await clock.advance(1500);
		if (isStopped) {
			await second.rollout.stop();
		}

		second.kill();
		const third = start(isStopped ? 'c' : 'b');
		await clock.advance(9000);
		const lastOrderOfFirst = Math.max(...engines.orders.filter(order => order.holder === 'a').map(({at}) => at));
		const nextOrder = Math.min(...engines.orders.filter(order => order.holder !== 'a').map(({at}) => at));
		expect(nextOrder - lastOrderOfFirst >= rolloutLeaseMs).toEqual(true);
		expect(nextOrder - acquiredAt < rolloutLeaseMs + 500).toEqual(true);
		third.kill();
	}
});

test('guards against a handover that waits for the lease to expire after a planned stop without recent orders', async () => {
	const {clock, engines, desiredVersions, start} = createEnvironment();
	const first = start('a');
	await clock.advance(5000);
	const second = start('b');
	await clock.advance(1000);
	await first.rollout.stop();
	first.kill();
	desiredVersions.set(testModel, {version: 2});
	await clock.advance(2000);
	expect(engines.orders.some(({holder}) => holder === 'b')).toEqual(true);
	second.kill();
});

test('guards against a rollout that is blocked by engines whose addresses now belong to others', async () => {
	const {clock, engines, desiredVersions, start} = createEnvironment();
	engines.decideOutcome = target => target.description.id === 'e0' || target.description.id === 'e1' ? 'gone' : 'accepted';
	const {fleet, kill} = start('a');
	await clock.advance(2000);
	desiredVersions.set(testModel, {version: 2});
	await clock.advance(5000);
	expect([...fleet.list()].filter(target => target.readVersion(testModel) === 2).length).toEqual(4);
	expect(engines.orders.length < 20).toEqual(true);
	kill();
});

test('guards against a delayed duplicate of an unanswered order: a repeated order expects the same number of accepted orders', async () => {
	const {clock, engines, desiredVersions, start} = createEnvironment(1);
	let lostAnswers = 2;
	engines.decideOutcome = () => {
		lostAnswers -= 1;
		return lostAnswers >= 0 ? 'unknown' : 'accepted';
	};

	const {fleet, kill} = start('a');
	await clock.advance(2000);
	desiredVersions.set(testModel, {version: 2});
	await clock.advance(4000);
	expect(fleet.locate(createDescription('e0').id)?.readVersion(testModel)).toEqual(2);
	expect(new Set(engines.orders.map(({order}) => order.expectedOrders)).size).toEqual(1);
	kill();
});

test('guards against orders to an engine whose load takes long, as many loads at a time do', async () => {
	const {clock, engines, desiredVersions, start} = createEnvironment(1);
	engines.loadMs = 8000;
	const {fleet, kill} = start('a');
	await clock.advance(2000);
	desiredVersions.set(testModel, {version: 2});
	await clock.advance(9500);
	expect(fleet.locate(createDescription('e0').id)?.readVersion(testModel)).toEqual(2);
	expect(engines.orders.length).toEqual(1);
	kill();
});

test('guards against a delay for an engine that was unreachable and restarted under the same id', async () => {
	const {clock, engines, desiredVersions, start} = createEnvironment(2);
	engines.decideOutcome = target => target.description.startedAt === 1 ? 'unreachable' : 'accepted';
	const {fleet, kill} = start('a');
	await clock.advance(2000);
	desiredVersions.set(testModel, {version: 2});
	await clock.advance(1000);
	fleet.replace([createDescription('e0', {startedAt: 2}), createDescription('e1', {startedAt: 2})], clock.readMonotonic());
	await clock.advance(1800);
	expect([...fleet.list()].some(target => target.readVersion(testModel) === 2)).toEqual(true);
	kill();
});
