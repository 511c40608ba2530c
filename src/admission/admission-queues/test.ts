import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {createQueuedCall} from '../../fixtures/create-queued-call/index.js';
import {
	simulateAdmission, type AdmissionSimulation, type CallOutcome, type SimulatedRoute,
} from '../../fixtures/simulate-admission/index.js';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import {idleAdmissionRecorder} from '../admission-recorder/index.js';
import {AdmissionQueues} from './index.js';

const msPerSecond = 1000;
const burst = {factor: 2.1, from: 3, to: 15};
const organisations = [
	{id: 'urgent', priority: 0, share: 0.2},
	{id: 'large', priority: 1, share: 0.4},
	{id: 'small', priority: 1, share: 0.2},
	{id: 'patient', priority: 2, share: 0.2},
];
const longPrompts = {
	id: 'long', sharedTokens: 6300, promptTokens: 2890, outputTokens: 6,
};
const shortPrompts = {
	id: 'short', sharedTokens: 198, promptTokens: 628, outputTokens: 32,
};

/** A load of the design page with a few engines, and what its late answers are worth. */
type ReplayedLoad = {readonly simulation: Omit<AdmissionSimulation, 'isQueued'>; readonly lateValues: Readonly<Record<string, number>>};

const common = {
	burst, seconds: 24, demandRatio: 1.4, organisations, seed: 1, goalFraction: 0.8,
};
/** 72 instances, 63 engines, 430 calls/s. */
const manyEngines: ReplayedLoad = {
	simulation: {
		...common, instances: 8, engines: 7, callsPerSecond: 48,
		routes: [{...longPrompts, latencyGoalMs: 515, deadlineMs: 4100}, {...shortPrompts, latencyGoalMs: 1507, deadlineMs: 10_000}],
	},
	lateValues: {long: 0.53, short: 0.61},
};
/** 83 instances, 42 engines, 150 calls/s. */
const fewEngines: ReplayedLoad = {
	simulation: {
		...common, instances: 8, engines: 4, callsPerSecond: 14.5,
		routes: [{...longPrompts, latencyGoalMs: 815, deadlineMs: 5100}, {...shortPrompts, latencyGoalMs: 507, deadlineMs: 12_200}],
	},
	lateValues: {long: 0.3, short: 0.23},
};

const selectBetween = (outcomes: readonly CallOutcome[], from: number, to: number) =>
	outcomes.filter(({arrivedAt}) => arrivedAt >= from * msPerSecond && arrivedAt < to * msPerSecond);

const measureShare = (outcomes: readonly CallOutcome[], isCounted: (outcome: CallOutcome) => boolean) =>
	outcomes.filter(outcome => isCounted(outcome)).length / outcomes.length;

const measureServed = (outcomes: readonly CallOutcome[]) => measureShare(outcomes, ({result}) => result !== 'refused');

function groupOutcomes(outcomes: readonly CallOutcome[], classify: (outcome: CallOutcome) => string): ReadonlyMap<string, readonly CallOutcome[]> {
	const names = [...new Set(outcomes.map(outcome => classify(outcome)))].toSorted((a, b) => a.localeCompare(b));
	return new Map(names.map(name => [name, outcomes.filter(outcome => classify(outcome) === name)]));
}

/** Reports the shares of timely, late and refused calls. */
function reportGroups(t: TestContext, title: string, groups: ReadonlyMap<string, readonly CallOutcome[]>): void {
	for (const [name, group] of groups) {
		const shares = (['timely', 'late', 'refused'] as const).map(kind => `${kind} ${measureShare(group, ({result}) => result === kind).toFixed(3)}`);
		t.diagnostic(`${title}, ${name}: ${group.length} calls, ${shares.join(', ')}`);
	}
}

function reportBurst(t: TestContext, title: string, outcomes: readonly CallOutcome[]): readonly CallOutcome[] {
	const inBurst = selectBetween(outcomes, burst.from, burst.to);
	reportGroups(t, title, groupOutcomes(inBurst, () => 'burst'));
	for (const classify of [({route}: CallOutcome) => route, ({priority}: CallOutcome) => `priority ${priority}`, ({organisation}: CallOutcome) => organisation]) {
		reportGroups(t, title, groupOutcomes(inBurst, classify));
	}

	reportGroups(t, title, groupOutcomes(selectBetween(outcomes, burst.to, burst.to + 6), ({arrivedAt}) => `second ${Math.floor(arrivedAt / msPerSecond)}`));
	return inBurst;
}

/** Replays a load before and after, and checks what the design page demands of the queue. Returns the shares of calls after the first second of recovery. */
async function replayLoad(t: TestContext, {simulation, lateValues}: ReplayedLoad) {
	const worth = (outcomes: readonly CallOutcome[]) => {
		const values = outcomes.map(({result, route}) => ({timely: 1, late: lateValues[route]!, refused: 0})[result]);
		return values.reduce((sum, value) => sum + value, 0) / values.length;
	};

	const polled = reportBurst(t, 'polling', await simulateAdmission({...simulation, isQueued: false}));
	const outcomes = await simulateAdmission({...simulation, isQueued: true});
	const queued = reportBurst(t, 'queue', outcomes);
	t.diagnostic(`worth of a call in the burst: polling ${worth(polled).toFixed(3)}, queue ${worth(queued).toFixed(3)}`);
	expect(worth(queued) > worth(polled)).toEqual(true);

	const served = measureServed(queued);
	const byPriority = [...groupOutcomes(queued, ({priority}) => String(priority)).values()].map(group => measureServed(group));
	expect(byPriority.every((share, index) => index === 0 || share <= byPriority[index - 1]! + 0.05)).toEqual(true);
	const byOrganisation = [...groupOutcomes(queued, ({organisation}) => organisation).values()].map(group => measureServed(group));
	expect(byOrganisation.every(share => share >= served / 4)).toEqual(true);
	const bySize = [...groupOutcomes(queued, ({route}) => route).values()].map(group => measureServed(group));
	expect(bySize.every(share => share >= served / 2)).toEqual(true);

	const recovered = selectBetween(outcomes, burst.to + 1, burst.to + 6);
	const timely = measureShare(recovered, ({result}) => result === 'timely');
	t.diagnostic(`later than a second after the burst: timely ${timely.toFixed(3)}, served ${measureServed(recovered).toFixed(3)}`);
	return {timely, served: measureServed(recovered)};
}

test('guards against a burst in which priorities, organisations and large prompts lose their room (72 instances, 63 engines)', async t => {
	const {timely, served} = await replayLoad(t, manyEngines);
	expect([timely >= 0.9, served >= 0.99]).toEqual([true, true]);
});

test('guards against a burst in which priorities, organisations and large prompts lose their room (83 instances, 42 engines)', async t => {
	await replayLoad(t, fewEngines);
});

test('guards against waits of calls for which there is room: below the capacity, the queue changes nothing', async () => {
	const simulation: AdmissionSimulation = {
		...manyEngines.simulation, burst: {...burst, factor: 1}, seconds: 10, demandRatio: 0.5, isQueued: false,
	};
	const polled = await simulateAdmission(simulation);
	expect(await simulateAdmission({...simulation, isQueued: true})).toEqual(polled);
});

test('guards against bounds that hold for one service only', () => {
	const queues = new AdmissionQueues({
		clock: new ManualClock(), fleet: new TargetFleet(quietLogger), logger: quietLogger, recorder: idleAdmissionRecorder, draw: () => 0,
		readLimits: () => ({
			maximumCalls: 2, maximumBytes: 1e6, longestWaitMs: 5000, goalFraction: 0,
		}),
	});
	let refused = 0;
	const refuse = () => {
		refused += 1;
	};

	for (const service of ['a', 'b', 'c']) {
		queues.get(service as ServiceId).join(createQueuedCall({refuse}), 0 as MonotonicMs);
	}

	expect([refused, queues.countByPriority().get(1), queues.dump()]).toEqual([1, 2, {a: {1: 1}, b: {1: 1}}]);
});
