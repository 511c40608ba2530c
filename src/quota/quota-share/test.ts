import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {QuotaShare} from './index.js';

const at = (ms: number) => ms as MonotonicMs;
const size = {tokensPerMs: 1, burstTokens: 1000, poolCapacityTokens: 1000};

test('guards against a restarted instance that spends its burst a second time', () => {
	expect(new QuotaShare(size, at(0)).charge(1, at(0))).toEqual(false);
});

test('guards against admitting more than rate and burst over a window', () => {
	const share = new QuotaShare(size, at(0));
	let admitted = 0;
	for (let now = 0; now <= 8000; now += 10) {
		admitted += share.charge(100, at(now)) ? 100 : 0;
	}

	expect(admitted <= 8000).toEqual(true);
	expect(admitted >= 7900).toEqual(true);
});

test('guards against refusing every call that is larger than the burst of a share, and against a debt beyond its limit', () => {
	const share = new QuotaShare(size, at(0));
	expect(share.charge(5000, at(2000))).toEqual(false);
	expect(share.overdraw(5000, 3999, at(2000))).toEqual(false);
	expect(share.overdraw(5000, 4000, at(2000))).toEqual(true);
	expect(share.overdraw(5000, 4000, at(5000))).toEqual(false);
	expect(share.charge(1, at(5999))).toEqual(false);
	expect(share.charge(1, at(6001))).toEqual(true);
});

test('withdraws borrowed tokens beyond the burst, and nothing else', () => {
	const share = new QuotaShare(size, at(0));
	share.receive(1500, at(0));
	expect([share.withdrawExcess(at(0)), share.withdrawExcess(at(0)), share.readLevel(at(0))]).toEqual([500, 0, 1000]);
});

test('guards against lending more tokens than the share has; adds received ones', () => {
	const share = new QuotaShare(size, at(0));
	expect(share.lend(800, at(500))).toEqual(500);
	expect(share.lend(800, at(500))).toEqual(0);
	share.receive(300, at(500));
	expect(share.charge(300, at(500))).toEqual(true);
});

test('guards against keeping the old level after the quota is lowered', () => {
	const share = new QuotaShare(size, at(0));
	share.resize({tokensPerMs: 0.1, burstTokens: 100, poolCapacityTokens: 100}, at(2000));
	expect(share.charge(101, at(2000))).toEqual(false);
});

test('guards against a pool that grows without bound while there are no calls', () => {
	const share = new QuotaShare({...size, poolCapacityTokens: 5000}, at(0));
	for (let index = 0; index < 100; index += 1) {
		share.deposit(400, at(index));
	}

	expect(share.readLevel(at(100))).toEqual(5000);
	expect(share.readLevel(at(9000))).toEqual(5000);
	expect(share.withdrawSurplus(600, at(9000))).toEqual(4400);
	expect(share.readLevel(at(9000))).toEqual(600);
});

test('guards against a share whose level is no number, so that its organisation has no limit', () => {
	const share = new QuotaShare(size, at(0));
	for (const tokens of [Number.NaN, Number.POSITIVE_INFINITY]) {
		expect([share.charge(tokens, at(500)), share.overdraw(tokens, 1000, at(500))]).toEqual([false, false]);
		share.receive(tokens, at(500));
		share.deposit(tokens, at(500));
		expect(Number.isFinite(share.readLevel(at(500)))).toEqual(true);
	}

	expect(share.charge(1001, at(500))).toEqual(false);
});
