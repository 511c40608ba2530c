import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {createFleetTarget} from '../../fixtures/create-fleet-target/index.js';
import type {TargetState} from '../../fleet/probe-target/index.js';
import type {RequestKey} from '../request-key/index.js';
import type {CrashedRequest} from '../request-ledger/index.js';
import {CrashConfirmation, type ConfirmedCrash} from './index.js';

const startMs = 1000;

/** Creates a confirmation whose probes give the listed states in turn. */
function createConfirmation(...states: TargetState[]) {
	const clock = new ManualClock(startMs);
	const crashes: Array<ConfirmedCrash<CrashedRequest>> = [];
	const probes: TargetState[] = [];
	const confirmation = new CrashConfirmation<CrashedRequest>({
		clock,
		async probe() {
			const state = states[probes.length] ?? 'up';
			probes.push(state);
			return state;
		},
		onCrash(crash) {
			crashes.push(crash);
		},
	});
	const target = createFleetTarget('t1');
	return {
		clock, crashes, probes, target,
		breakConnection(key: string) {
			confirmation.add({key: key as RequestKey, sentAt: clock.readMonotonic()}, target, clock.readMonotonic());
		},
	};
}

test('reports all requests of one crash after one probe', async () => {
	const {clock, crashes, probes, breakConnection} = createConfirmation('down');
	breakConnection('a');
	await clock.advance(5);
	breakConnection('b');
	await clock.advance(300);
	expect(crashes.map(({calls}) => calls.map(({key}) => String(key)))).toEqual([['a', 'b']]);
	expect([crashes[0]!.crashedAt as number, probes.length]).toEqual([startMs, 1]);
});

test('probes a second time where the listener closes after the connections', async () => {
	const {clock, crashes, breakConnection} = createConfirmation('up', 'down');
	breakConnection('a');
	await clock.advance(300);
	expect(crashes.length).toEqual(1);
});

test('guards against taking a reset or a cut for a crash', async () => {
	for (const states of [['up', 'up'], ['unknown', 'unknown']] as const) {
		const {clock, crashes, probes, breakConnection} = createConfirmation(...states);
		breakConnection('a');
		await clock.advance(1000);
		expect([crashes.length, probes.length]).toEqual([0, 2]);
	}
});

test('needs no probe where a call has found the target unreachable since', async () => {
	const {clock, crashes, probes, target, breakConnection} = createConfirmation();
	breakConnection('a');
	target.recordUnreachable(clock.readMonotonic());
	await clock.advance(300);
	expect([crashes.length, probes.length]).toEqual([1, 0]);
});
