import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import {createPartKey} from '../part-key/index.js';
import {maximumClearancesPerMessage} from '../quarantine-messages/index.js';
import {PartClearances} from './index.js';

const a = createPartKey('model-1', 'a');
const b = createPartKey('model-1', 'b');
const c = createPartKey('model-1', 'c');
const longestDelayMs = 200;

/** Creates the announcements of an instance at which calls with part `a` had a complete answer. */
function createClearances() {
	const clock = new ManualClock(1000);
	const announced: string[][] = [];
	const clearances = new PartClearances({
		clock, random: new RandomSource(1),
		readCompletedAt: part => part === a ? 500 as MonotonicMs : undefined,
		announce(list) {
			announced.push(list.map(({part}) => part));
		},
	});
	return {clock, announced, clearances};
}

test('guards against a datagram for each complete answer: those that follow quickly share one', async () => {
	const {clock, announced, clearances} = createClearances();
	clearances.schedule([a], clock.readMonotonic());
	await clock.advance(10);
	clearances.schedule([b], clock.readMonotonic());
	clearances.schedule([b, c], clock.readMonotonic());
	expect(announced).toEqual([[a]]);
	await clock.advance(longestDelayMs);
	expect(announced).toEqual([[a], [b, c]]);
});

test('splits clearances that do not fit into one message', async () => {
	const {clock, announced, clearances} = createClearances();
	const parts = Array.from({length: maximumClearancesPerMessage + 1}, (_, index) => createPartKey('model-1', `p${index}`));
	clearances.schedule(parts, clock.readMonotonic());
	await clock.advance(1);
	expect(announced.map(list => list.length)).toEqual([maximumClearancesPerMessage, 1]);
});

test('tells at a crash of earlier complete answers, once in 5 s, and not what another instance has told meanwhile', async () => {
	const {clock, announced, clearances} = createClearances();
	const confirm = async () => {
		void clearances.confirmProven([a, b], clock.readMonotonic());
		await clock.advance(longestDelayMs);
	};

	await confirm();
	await confirm();
	expect(announced).toEqual([[a]]);
	await clock.advance(5000);
	void clearances.confirmProven([a, b], clock.readMonotonic());
	clearances.record(a, clock.readMonotonic());
	await clock.advance(longestDelayMs);
	expect(announced).toEqual([[a]]);
});
