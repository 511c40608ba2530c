import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {createPartKey} from '../part-key/index.js';
import {initialDurationMs, probationMs, QuarantineRegister} from './index.js';

const at = (ms: number) => ms as MonotonicMs;
const part = createPartKey('model-1', 'a');

test('doubles the duration of a quarantine after each probation, up to a day', () => {
	const register = new QuarantineRegister();
	const durations: number[] = [];
	for (let round = 0, now = 0; round < 10; round += 1) {
		const quarantine = register.plan(part, 1, at(now));
		expect(register.add(quarantine)).toEqual(true);
		expect(register.findActive([part], at(quarantine.endsAt - 1))).toEqual(quarantine);
		expect(register.isOnProbation(part, quarantine.endsAt)).toEqual(true);
		durations.push(quarantine.durationMs / initialDurationMs);
		now = quarantine.endsAt + 1000;
	}

	expect(durations).toEqual([1, 2, 4, 8, 16, 32, 64, 128, 144, 144]);
});

test('guards against a lifted quarantine that a late copy brings back', () => {
	const register = new QuarantineRegister();
	const quarantine = register.plan(part, 4, at(0));
	register.add(quarantine);
	expect(register.lift(part)).toEqual(quarantine);
	expect(register.add({...quarantine, endsAt: at(quarantine.endsAt + 300)})).toEqual(false);
	expect(register.add(register.plan(part, 4, at(10_000)))).toEqual(true);
});

test('guards against quarantines that are kept for ever', () => {
	const register = new QuarantineRegister();
	const {endsAt} = register.plan(part, 4, at(0));
	register.add(register.plan(part, 4, at(0)));
	expect(register.listForgettable(at(endsAt + probationMs))).toEqual([]);
	expect(register.listForgettable(at(endsAt + probationMs + 1))).toEqual([part]);
	for (let index = 0; index < 3000; index += 1) {
		register.add(register.plan(createPartKey('model-1', `p${index}`), 4, at(0)));
	}

	expect(register.list().length).toEqual(1000);
});

test('guards against a lifted longer quarantine that keeps a new one from being added', () => {
	const register = new QuarantineRegister();
	register.add(register.plan(part, 4, at(0)));
	register.add(register.plan(part, 1, at(601_000)));
	register.lift(part);
	expect(register.add(register.plan(part, 4, at(700_000)))).toEqual(true);
});
