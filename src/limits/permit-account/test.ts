import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {PermitAccount} from './index.js';

const at = (ms: number) => ms as MonotonicMs;

test('asks for what was wanted, and for nothing while an ask is open or permits are left', () => {
	const account = new PermitAccount();
	account.recordWanted();
	account.recordWanted();
	expect(account.open(1, at(0))).toEqual(2);
	expect(account.open(2, at(999))).toEqual(0);
	expect(account.grant(1, 2, at(999))).toEqual(true);
	expect(account.open(2, at(1000))).toEqual(0);
	expect([account.take(at(1000)), account.take(at(1001)), account.take(at(1002))]).toEqual([true, true, false]);
	expect(account.open(2, at(1003))).toEqual(1);
});

test('guards against permits that are used long after they were issued', () => {
	const account = new PermitAccount();
	account.open(1, at(0));
	expect(account.grant(1, 1, at(1000))).toEqual(false);
	account.open(2, at(1000));
	expect(account.grant(1, 1, at(1001))).toEqual(false);
	expect(account.grant(2, 1, at(1002))).toEqual(true);
	expect(account.take(at(1502))).toEqual(false);
});

test('guards against a grant that arrives twice', () => {
	const account = new PermitAccount();
	account.open(1, at(0));
	account.grant(1, 1, at(1));
	expect(account.take(at(2))).toEqual(true);
	expect(account.grant(1, 1, at(3))).toEqual(false);
	expect(account.hasPermit(at(4))).toEqual(false);
});

test('remembers when the next permit is expected', () => {
	const account = new PermitAccount();
	account.open(1, at(0));
	account.recordWait(1, 700, at(10));
	expect(account.readExpectedAt()).toEqual(at(710));
	account.grant(1, 1, at(600));
	expect(account.readExpectedAt()).toEqual(undefined);
});
