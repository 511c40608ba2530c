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
import {
	RolloutController, rolloutLeaseMs, type EngineCommander, type OrderOutcome, type WeightsOrder,
} from './index.js';

type Answer = (target: FleetTarget, order: WeightsOrder) => OrderOutcome;
type SentOrder = {readonly at: number; readonly holder: string; readonly target: string; readonly order: WeightsOrder};

const acceptOrder: Answer = () => 'accepted';

/** Engines that load within 800 ms, and the orders that they got. */
class FakeEngines {
	readonly orders: SentOrder[] = [];
	/** Decides the answer to an order; accepted orders are carried out. */
	answer: Answer = acceptOrder;
	private readonly accepted = new Map<string, number>();
	private readonly loads = new Map<string, {version: number; doneAt: number}>();

	constructor(private readonly clock: ManualClock) {}

	createCommander(holder: string): EngineCommander {
		return {
			order: async (target, order) => {
				const id = target.description.id as string;
				const count = this.accepted.get(id) ?? 0;
				this.orders.push({
					at: this.clock.readMonotonic(), holder, target: id, order,
				});
				const outcome = order.expectedOrders === count ? this.answer(target, order) : 'conflict';
				if (outcome === 'accepted') {
					this.accepted.set(id, count + 1);
					this.loads.set(id, {version: order.version, doneAt: this.clock.readMonotonic() + 800});
				}

				return outcome;
			},
			readReport: async target => {
				const load = this.loads.get(target.description.id);
				const isChanging = load !== undefined && load.doneAt > this.clock.readMonotonic();
				return {
					versions: new Map([[testModel, load === undefined || isChanging ? 1 : load.version]]),
					acceptedOrders: this.accepted.get(target.description.id) ?? 0, isChanging,
				};
			},
		};
	}
}

function createWorld(engineCount = 6) {
	const clock = new ManualClock();
	const objectApi = new MemoryObjectApi();
	const engines = new FakeEngines(clock);
	const wanted = new Map([[testModel, {version: 1}]]);
	const start = (holder: string) => {
		const controller = new AbortController();
		const fleet = new TargetFleet(quietLogger);
		fleet.replace(Array.from({length: engineCount}, (_, index) => createDescription(`e${index}`)));
		const rollout = new RolloutController({
			clock, logger: quietLogger, fleet, commander: engines.createCommander(holder), listWanted: () => wanted, isContender: () => true,
			lease: new Lease({
				objectApi, clock, name: 'rollout', holder, incarnation: `${holder}-1` as Incarnation, durationMs: rolloutLeaseMs, maximumReadGapMs: rolloutLeaseMs,
			}),
			announce() {
				// One instance is enough here.
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
		clock, engines, wanted, start,
	};
}

test('brings all engines to the named weights well within the time limit', async () => {
	const {clock, engines, wanted, start} = createWorld();
	const {fleet, kill} = start('a');
	await clock.advance(2000);
	wanted.set(testModel, {version: 2});
	await clock.advance(5000);
	expect([...fleet.list()].every(target => target.readVersion(testModel) === 2)).toEqual(true);
	expect(engines.orders.length).toEqual(6);
	kill();
});

test('guards against orders of two holders within a lease duration, also when the first is killed in a rollout', async () => {
	const {clock, engines, wanted, start} = createWorld();
	const first = start('a');
	await clock.advance(2000);
	const second = start('b');
	await clock.advance(2000);
	wanted.set(testModel, {version: 2});
	await clock.advance(500);
	first.kill();
	await clock.advance(9000);
	const lastOfFirst = Math.max(...engines.orders.filter(({holder}) => holder === 'a').map(({at}) => at));
	const firstOfSecond = Math.min(...engines.orders.filter(({holder}) => holder === 'b').map(({at}) => at));
	expect(firstOfSecond - lastOfFirst >= rolloutLeaseMs).toEqual(true);
	expect([...second.fleet.list()].every(target => target.readVersion(testModel) === 2)).toEqual(true);
	second.kill();
});

test('hands the lease over at a planned stop without waiting for its end when no order was given lately', async () => {
	const {clock, engines, wanted, start} = createWorld();
	const first = start('a');
	await clock.advance(5000);
	const second = start('b');
	await clock.advance(1000);
	await first.rollout.stop();
	first.kill();
	wanted.set(testModel, {version: 2});
	await clock.advance(2000);
	expect(engines.orders.some(({holder}) => holder === 'b')).toEqual(true);
	second.kill();
});

test('guards against an engine whose address passed on and that takes the place of others', async () => {
	const {clock, engines, wanted, start} = createWorld();
	engines.answer = target => target.description.id === 'e0' || target.description.id === 'e1' ? 'gone' : 'accepted';
	const {fleet, kill} = start('a');
	await clock.advance(2000);
	wanted.set(testModel, {version: 2});
	await clock.advance(5000);
	expect([...fleet.list()].filter(target => target.readVersion(testModel) === 2).length).toEqual(4);
	expect(engines.orders.length < 20).toEqual(true);
	kill();
});

test('guards against a late copy of an unanswered order: each order names the number of orders accepted before', async () => {
	const {clock, engines, wanted, start} = createWorld(1);
	let lost = 2;
	engines.answer = () => {
		lost -= 1;
		return lost >= 0 ? 'unknown' : 'accepted';
	};

	const {fleet, kill} = start('a');
	await clock.advance(2000);
	wanted.set(testModel, {version: 2});
	await clock.advance(4000);
	expect(fleet.locate(createDescription('e0').id)?.readVersion(testModel)).toEqual(2);
	expect(new Set(engines.orders.map(({order}) => order.expectedOrders)).size).toEqual(1);
	kill();
});

test('guards against holding up an engine that restarted under its id after it could not be reached', async () => {
	const {clock, engines, wanted, start} = createWorld(2);
	engines.answer = target => target.description.startedAt === 1 ? 'unreachable' : 'accepted';
	const {fleet, kill} = start('a');
	await clock.advance(2000);
	wanted.set(testModel, {version: 2});
	await clock.advance(1000);
	fleet.replace([createDescription('e0', {startedAt: 2}), createDescription('e1', {startedAt: 2})]);
	await clock.advance(1800);
	expect([...fleet.list()].some(target => target.readVersion(testModel) === 2)).toEqual(true);
	kill();
});
