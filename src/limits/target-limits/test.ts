import {test} from 'node:test';
import {expect} from 'earl';
import {simulateBrittleService} from '../../fixtures/simulate-brittle-service/index.js';
import {simulateTargetLimit, type LimitSimulation} from '../../fixtures/simulate-target-limit/index.js';

const windowMs = 4000;
const limitFromMs = 2000;
const limitUntilMs = 22_000;

function createSimulation(limit: number, changes: Partial<LimitSimulation> = {}): LimitSimulation {
	return {
		instances: 9, callsPerSecond: 60, seconds: 30, lossShare: 0, issuerStopsAtMs: 0, seed: 1,
		readLimit: atMs => atMs >= limitFromMs && atMs < limitUntilMs ? limit : undefined, ...changes,
	};
}

/** Finds the highest number of requests in a window that begins after the fleet can know of the limit. */
function findHighest(sentAt: readonly number[]): number {
	const counted = sentAt.filter(at => at > limitFromMs + 500 && at <= limitUntilMs);
	return Math.max(0, ...counted.map(end => counted.filter(at => at > end - windowMs && at <= end).length));
}

function countBetween(sentAt: readonly number[], from: number, until: number): number {
	return sentAt.filter(at => at >= from && at < until).length;
}

test('guards against the sum over all instances that exceeds a limit, in small and large fleets', async () => {
	for (const [instances, callsPerSecond] of [[1, 20], [9, 60], [77, 150], [195, 190]] as const) {
		for (const limit of [0, 1.8, 8]) {
			const {sentAt} = await simulateTargetLimit(createSimulation(limit, {instances, callsPerSecond}));
			expect(findHighest(sentAt) <= (4 * limit) + 5).toEqual(true);
		}
	}
});

test('guards against a limit that is not used: busy instances get what quiet ones do not need', async () => {
	const {sentAt} = await simulateTargetLimit(createSimulation(8));
	expect(countBetween(sentAt, 10_000, 20_000) >= 60).toEqual(true);
});

test('guards against a limit that outlives its statement', async () => {
	for (const limit of [0, 1.8]) {
		const {sentAt} = await simulateTargetLimit(createSimulation(limit, {seconds: 40}));
		expect(countBetween(sentAt, 30_000, 40_000) >= 500).toEqual(true);
	}
});

test('guards against lost messages that let a target get too much, or nothing', async () => {
	for (const seed of [1, 2, 3]) {
		const {sentAt} = await simulateTargetLimit(createSimulation(1.8, {lossShare: 0.3, seed}));
		expect(findHighest(sentAt) <= 15).toEqual(true);
		expect(countBetween(sentAt, 10_000, 20_000) >= 6).toEqual(true);
	}
});

test('guards against a takeover of the issuer that lets a target get too much, or nothing for long', async () => {
	const {sentAt} = await simulateTargetLimit(createSimulation(1.8, {issuerStopsAtMs: 9000}));
	expect(findHighest(sentAt) <= 15).toEqual(true);
	expect(countBetween(sentAt, 17_000, 22_000) >= 5).toEqual(true);
});

test('follows a limit that changes', async () => {
	const {sentAt} = await simulateTargetLimit(createSimulation(1.8, {readLimit: atMs => atMs < 10_000 ? 10 : 2}));
	expect(countBetween(sentAt, 11_000, 20_000) <= 24).toEqual(true);
});

const brittleTargets = 4;
const brittleSlots = 4;
const brittleCallMs = 200;
/** Calls a second that an instance which knew the room of all targets would let them serve. */
const servableCallsPerSecond = brittleTargets * brittleSlots * 1000 / brittleCallMs;
const shrinksAtMs = 5000;
/** The rule of the platform: no more than two falls and a tenth of the targets. */
const allowedFalls = 2 + (brittleTargets / 10);

/** Simulates targets that say they are brittle 3 s before their queues become shorter and they can fall over, under more calls than they can serve. */
async function simulateBrittleTargets(instances: number, lossShare: number, crashAtMs = Number.POSITIVE_INFINITY) {
	return simulateBrittleService({
		instances, targets: brittleTargets, callMs: brittleCallMs, lossShare, crashAtMs, seconds: 15, seed: 1,
		readCallsPerSecond: () => 1.5 * servableCallsPerSecond,
		target: {
			slots: brittleSlots, fallsFromMs: shrinksAtMs, readQueueLength: now => now < shrinksAtMs ? 8 : 2,
			readRefusals: now => now < shrinksAtMs - 3000 ? undefined : 10,
		},
	});
}

test('guards against brittle targets that fall over, or stay idle, while calls exceed their room and the room shrinks', async () => {
	const untilMs = 14_000;
	for (const [instances, lossShare] of [[9, 0], [9, 0.05], [77, 0.01], [195, 0.01]] as const) {
		const {servedArrivedAt, fallsAt} = await simulateBrittleTargets(instances, lossShare);
		const served = countBetween(servedArrivedAt, shrinksAtMs, untilMs);
		const isBusy = served >= 0.75 * servableCallsPerSecond * (untilMs - shrinksAtMs) / 1000;
		expect([instances, fallsAt.length <= allowedFalls, isBusy]).toEqual([instances, true, true]);
	}
});

test('guards against calls that rush to brittle targets which come back after a crash, and fell them', async () => {
	for (const instances of [9, 195]) {
		const {servedArrivedAt, fallsAt} = await simulateBrittleTargets(instances, 0.01, 7000);
		const served = countBetween(servedArrivedAt, 11_000, 14_000);
		expect([instances, fallsAt.length <= allowedFalls, served > servableCallsPerSecond]).toEqual([instances, true, true]);
	}
});
