import {test} from 'node:test';
import {expect} from 'earl';
import {
	newVersion, oldVersion, SimulatedRollout, testService, type RolloutScenario,
} from '../../fixtures/simulate-software-rollout/index.js';
import {rolloutCollection} from '../../fixtures/start-rollout-instance/index.js';
import type {SoftwareVersion} from '../../identity/ids/index.js';

const durationMs = 12_000;
const usualMs = 40;
/** Age of the order at which the version turns bad in the tests of a rollback. */
const badFromMs = 3000;

function createSimulation(changes: Partial<RolloutScenario> = {}): SimulatedRollout {
	return new SimulatedRollout({
		instances: 5, targetsPerVersion: 4, requestsPerSecond: 200, routes: ['a', 'b'], durationMs, seed: 1,
		plan: ({draw}) => ({isFailure: draw() < 0.02, durationMs: usualMs * (0.6 + (0.8 * draw())), isBad: false}), ...changes,
	});
}

/** Creates a simulation of a version whose answers all fail from `badFromMs` on. */
function createBadSimulation(): SimulatedRollout {
	return createSimulation({
		plan({isNew, ageMs}) {
			const isBad = isNew && ageMs > badFromMs;
			return {isFailure: isBad, durationMs: usualMs, isBad};
		},
	});
}

async function begin(simulation: SimulatedRollout): Promise<void> {
	await simulation.clock.advance(1000);
	await simulation.putOrder();
}

/** Lists the shares with which the instances send to the new version. */
function listShares(simulation: SimulatedRollout): number[] {
	return simulation.instances.map(({rollouts}) => (rollouts.dump() as {rollouts: Array<{share: number}>}).rollouts[0]?.share ?? -1);
}

test('guards against a killed holder that leaves the order where it is', async () => {
	const simulation = createSimulation();
	await begin(simulation);
	await simulation.run(4000);
	const killed = simulation.findHolder()!;
	simulation.kill(killed.id);
	await simulation.run(4500);
	expect(simulation.findHolder() !== undefined && simulation.findHolder() !== killed).toEqual(true);
	await simulation.run(3400);
	expect([simulation.totals.endState, simulation.totals.leftAtCompletion, simulation.totals.refused]).toEqual(['completed', 0, 0]);
	expect(simulation.totals.endedAt! < durationMs).toEqual(true);
});

test('guards against a restart of all instances that begins the order anew or lets the new version have all calls', async () => {
	const simulation = createSimulation();
	await begin(simulation);
	await simulation.run(4000);
	const ids = simulation.instances.map(({id}) => id);
	for (const id of ids) {
		simulation.kill(id);
	}

	await simulation.run(1500);
	for (const id of ids) {
		simulation.startInstance(id);
	}

	await simulation.run(400);
	expect(listShares(simulation).every(share => share > 0 && share < 0.2)).toEqual(true);
	await simulation.run(6000);
	expect([simulation.totals.endState, simulation.totals.leftAtCompletion]).toEqual(['completed', 0]);
	expect(simulation.totals.endedAt! < durationMs).toEqual(true);
});

test('guards against a holder in a planned stop that keeps the lease until it expires', async () => {
	const simulation = createSimulation();
	await begin(simulation);
	await simulation.run(4000);
	const leaving = simulation.findHolder()!;
	await leaving.rollouts.stop();
	await simulation.run(1500);
	expect([undefined, leaving].includes(simulation.findHolder())).toEqual(false);
});

test('guards against a bad version that gets calls because the store is away, and writes the rollback when it is back', async () => {
	const simulation = createBadSimulation();
	await begin(simulation);
	await simulation.run(2500);
	simulation.objectApi.setDown(true);
	await simulation.run(3500);
	expect(listShares(simulation)).toEqual([0, 0, 0, 0, 0]);
	expect(simulation.totals.lastNewAt < badFromMs + 2500).toEqual(true);
	simulation.objectApi.setDown(false);
	await simulation.run(6000);
	expect([simulation.totals.endState, simulation.totals.refused]).toEqual(['rolledBack', 0]);
});

test('guards against a stage that rises while the store is away', async () => {
	const simulation = createSimulation();
	await begin(simulation);
	await simulation.run(4000);
	simulation.objectApi.setDown(true);
	await simulation.run(10_000);
	expect(listShares(simulation).every(share => share < 0.2)).toEqual(true);
	simulation.objectApi.setDown(false);
	await simulation.run(6000);
	expect([simulation.totals.endState, simulation.totals.leftAtCompletion]).toEqual(['completed', 0]);
});

test('guards against an instance that starts after the stop and sends to the bad version while the store is away', async () => {
	const simulation = createBadSimulation();
	await begin(simulation);
	await simulation.run(2500);
	for (const {api} of simulation.instances) {
		api.isCut = true;
	}

	await simulation.run(3000);
	simulation.startInstance('late');
	await simulation.run(2500);
	expect(listShares(simulation)).toEqual([0, 0, 0, 0, 0, 0]);
});

test('guards against a restore of the store from a copy that loses the status', async () => {
	const simulation = createBadSimulation();
	await begin(simulation);
	const copy = simulation.objectApi.copy();
	await simulation.run(6000);
	expect(simulation.totals.endState).toEqual('rolledBack');
	simulation.objectApi.restore(copy);
	await simulation.run(1000);
	expect(listShares(simulation)).toEqual([0, 0, 0, 0, 0]);
	await simulation.run(9000);
	const status = simulation.readStatus();
	expect([status?.state, status?.target]).toEqual(['rolledBack', newVersion]);
	expect(listShares(simulation)).toEqual([0, 0, 0, 0, 0]);
});

test('guards against a restore that loses a completed rollout and sends calls to targets that have stopped', async () => {
	const simulation = createSimulation();
	await begin(simulation);
	const copy = simulation.objectApi.copy();
	await simulation.run(durationMs);
	expect(simulation.totals.endState).toEqual('completed');
	simulation.objectApi.restore(copy);
	await simulation.run(9000);
	expect(listShares(simulation)).toEqual([1, 1, 1, 1, 1]);
	const status = simulation.readStatus();
	expect(status?.state).toEqual('completed');
});

test('guards against a version that was rolled back and serves again, until an order names it', async () => {
	const simulation = createBadSimulation();
	await begin(simulation);
	await simulation.run(7000);
	const isAllowed = (version: SoftwareVersion) => simulation.instances.map(({rollouts}) => rollouts.routing.allows(testService, undefined, version));
	expect([isAllowed(newVersion).includes(true), isAllowed(oldVersion).includes(false)]).toEqual([false, false]);
	await simulation.putOrder({target: 'v3' as SoftwareVersion});
	await simulation.run(1000);
	expect(isAllowed(newVersion).includes(true)).toEqual(false);
	await simulation.putOrder({target: newVersion});
	await simulation.run(1000);
	expect(isAllowed(newVersion).includes(false)).toEqual(false);
});

test('guards against calls of the store without an order', async () => {
	const simulation = createSimulation();
	await simulation.clock.advance(10_000);
	const before = {...simulation.objectApi.calls};
	await simulation.clock.advance(60_000);
	expect(simulation.objectApi.calls).toEqual(before);
	expect(simulation.network.sent.datagrams).toEqual(0);
	await simulation.objectApi.create(rolloutCollection, 'other', {service: 'other', target: 'v9', durationMs});
	await simulation.clock.advance(1000);
	expect(simulation.findHolder() === undefined).toEqual(false);
});

test('guards against an instance that is cut off from the others and goes on sending to a bad version', async () => {
	const simulation = createBadSimulation();
	await begin(simulation);
	await simulation.run(2500);
	const isolated = simulation.instances.find(instance => instance !== simulation.findHolder())!;
	simulation.network.open(isolated.id);
	isolated.api.isCut = true;
	await simulation.run(5500);
	expect(listShares(simulation)).toEqual([0, 0, 0, 0, 0]);
	expect(simulation.totals.endState).toEqual('rolledBack');
});
