import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {TargetFleet} from '../../fleet/target-fleet/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import {TargetReachability} from './index.js';

/** Creates the reachability of `count` targets, of which those in `connectable` accept connections. */
function createReachability(count: number, connectable = new Set<string>()) {
	const clock = new ManualClock();
	const fleet = new TargetFleet(quietLogger);
	fleet.replace(Array.from({length: count}, (_, index) => createDescription(`t${index}`)), clock.readMonotonic());
	const targets = [...fleet.list()];
	const changes: boolean[] = [];
	let probes = 0;
	const reachability = new TargetReachability({
		clock, logger: quietLogger, random: new RandomSource(1), fleet,
		async probe({description: {id}}) {
			probes += 1;
			return connectable.has(id);
		},
		onChange() {
			changes.push(reachability.isCutOff);
		},
	});
	void reachability.run(new AbortController().signal);
	return {
		clock, reachability, targets, changes, connectable, countProbes: () => probes,
		/** Lets requests at the first `number` targets stay without an answer, one every 100 ms, `rounds` times. */
		async leaveUnanswered(number: number, rounds: number) {
			for (let round = 0; round < rounds; round += 1) {
				for (const target of targets.slice(0, number)) {
					reachability.recordUnanswered(target, clock.readMonotonic());
				}

				await clock.advance(100);
			}
		},
	};
}

test('guards against refused calls while no target accepts connections, although older ones live on', async () => {
	const {clock, reachability, targets, changes, connectable} = createReachability(11);
	reachability.recordConnectFailed(targets[0]!);
	reachability.recordAnswered();
	expect([reachability.isCutOff, reachability.isWitness]).toEqual([false, true]);
	reachability.recordConnectFailed(targets[1]!);
	expect(reachability.isWitness).toEqual(false);
	await reachability.settle();
	expect([reachability.isCutOff, reachability.canConnect, changes]).toEqual([true, false, [true]]);
	reachability.recordAnswered();
	expect(reachability.shouldHandOver(true, clock.readMonotonic())).toEqual(true);
	connectable.add('t0').add('t1').add('t2').add('t3').add('t4').add('t5').add('t6').add('t7').add('t8');
	await clock.advance(600);
	expect([reachability.isCutOff, changes]).toEqual([false, [true, false]]);
});

test('guards against taking the crash of all targets of one service for a cut', async () => {
	const {reachability, targets, changes} = createReachability(11, new Set(['t3', 't4', 't5', 't6', 't7', 't8', 't9', 't10']));
	for (const target of targets.slice(0, 3)) {
		reachability.recordConnectFailed(target);
		await reachability.settle();
	}

	expect([reachability.isCutOff, reachability.isWitness, changes]).toEqual([false, true, []]);
});

test('guards against one target that is silent for a second, or some of many, and is taken for a cut', async () => {
	const {reachability, leaveUnanswered} = createReachability(11);
	await leaveUnanswered(1, 20);
	expect(reachability.isCutOff).toEqual(false);
	await leaveUnanswered(5, 20);
	expect(reachability.isCutOff).toEqual(false);
});

test('guards against a cut in which connections are made and nothing is answered', async () => {
	const {clock, reachability, leaveUnanswered} = createReachability(11);
	await leaveUnanswered(6, 4);
	expect([reachability.isCutOff, reachability.canConnect]).toEqual([true, true]);
	const shouldHandOver = () => [true, false].map(isRepeatable => reachability.shouldHandOver(isRepeatable, clock.readMonotonic()));
	expect(shouldHandOver()).toEqual([true, true]);
	await clock.advance(2000);
	expect(shouldHandOver()).toEqual([false, true]);
	await leaveUnanswered(6, 5);
	expect(shouldHandOver()).toEqual([true, true]);
	await clock.advance(2000);
	expect(shouldHandOver()).toEqual([true, true]);
	await clock.advance(2000);
	expect(shouldHandOver()).toEqual([false, true]);
	reachability.recordAnswered();
	expect([shouldHandOver(), reachability.isCutOff]).toEqual([[false, false], false]);
});

test('guards against probes while nothing is wrong', async () => {
	const {clock, countProbes} = createReachability(11);
	await clock.advance(60_000);
	expect(countProbes()).toEqual(0);
});
