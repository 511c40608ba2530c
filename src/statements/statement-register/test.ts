import {test} from 'node:test';
import {expect} from 'earl';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {maximumUnlisted, StatementRegister, unlistedRetentionMs} from './index.js';

const at = (ms: number) => ms as MonotonicMs;

/** Registers targets that are leaving and have removed their entries at successive times. */
function registerUnlisted(register: StatementRegister, count: number): void {
	for (let number = 0; number < count; number += 1) {
		const description = createDescription(`t${number}`);
		register.getListed(description).recordLeaving();
		register.markUnlisted(description, at(number));
	}
}

test('guards against statements that are kept without end, and against ones of listed targets that expire', () => {
	const register = new StatementRegister();
	registerUnlisted(register, 2);
	register.getListed(createDescription('listed')).recordLeaving();
	register.prune(at(unlistedRetentionMs));
	expect(register.countUnlisted()).toEqual(2);
	register.prune(at(unlistedRetentionMs + 1));
	expect(register.countUnlisted()).toEqual(1);
	register.prune(at(unlistedRetentionMs * 9));
	expect(register.countUnlisted()).toEqual(0);
	expect(register.getListed(createDescription('listed')).isLeaving).toEqual(true);
});

test('guards against statements without bound in number: targets that have stated nothing go first, then the oldest', () => {
	const register = new StatementRegister();
	registerUnlisted(register, maximumUnlisted + 1);
	const quiet = createDescription('quiet');
	register.getListed(quiet);
	register.markUnlisted(quiet, at(maximumUnlisted + 1));
	register.prune(at(maximumUnlisted + 2));
	expect(register.countUnlisted()).toEqual(maximumUnlisted);
	expect(register.getListed(createDescription('t0')).isLeaving).toEqual(false);
	expect(register.getListed(createDescription('t1')).isLeaving).toEqual(true);
});

test('guards against an older copy of the list, which shows an earlier incarnation, that ends the statements of the later one', () => {
	const register = new StatementRegister();
	const [earlier, later] = [createDescription('t', {startedAt: 1}), createDescription('t', {startedAt: 2})];
	register.getListed(earlier).recordLeaving();
	register.markUnlisted(earlier, at(0));
	expect(register.getListed(later).isLeaving).toEqual(false);
	register.getListed(later).recordLeaving();
	register.markUnlisted(later, at(10));
	expect(register.getListed(earlier).isLeaving).toEqual(false);
	expect(register.getListed(later).isLeaving).toEqual(true);
});
