import {test} from 'node:test';
import {expect} from 'earl';
import {createFleetTarget} from '../../fixtures/create-fleet-target/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import {PermitIssuer, type PermitAsk} from './index.js';

const at = (ms: number) => ms as MonotonicMs;
/** Time after which an issuer issues the whole rate. */
const settledMs = 5000;

function createLimitedTarget(requestsPerSecond: number): FleetTarget {
	const target = createFleetTarget('t1');
	target.limit.recordStated(requestsPerSecond, at(0));
	return target;
}

function createAsk(asker: string, changes: Partial<PermitAsk> = {}): PermitAsk {
	return {
		asker: asker as InstanceId, number: 1, count: 1, expiresAt: at(1_000_000), ...changes,
	};
}

/** Lets three instances ask all the time, and counts the permits from `from` to `until`. */
function countPermits(issuer: PermitIssuer, target: FleetTarget, from: number, until: number): number {
	let count = 0;
	for (let now = from; now < until; now += 10) {
		for (const asker of ['a', 'b', 'c']) {
			issuer.addAsk(target, createAsk(asker), at(now));
		}

		count += issuer.issue(() => true, at(now)).length;
	}

	return count;
}

test('issues the rate that the target states, however many instances ask', () => {
	const issuer = new PermitIssuer();
	const target = createLimitedTarget(2);
	countPermits(issuer, target, 0, settledMs);
	expect(countPermits(issuer, target, settledMs, settledMs + 10_000)).toEqual(20);
});

test('guards against two issuers that exceed one and a half times the limit while one takes over', () => {
	for (const limit of [0, 0.5, 1.8, 20, 300]) {
		const target = createLimitedTarget(limit);
		const earlier = new PermitIssuer();
		countPermits(earlier, target, 0, 20_000);
		const both = countPermits(earlier, target, 20_000, 24_500) + countPermits(new PermitIssuer(), target, 20_000, 24_500);
		expect(both <= (1.5 * 4 * limit) + 5).toEqual(true);
	}
});

test('serves instances in the order in which they asked, and drops asks that have expired', () => {
	const issuer = new PermitIssuer();
	const target = createLimitedTarget(10);
	issuer.addAsk(target, createAsk('a', {expiresAt: at(5)}), at(0));
	issuer.addAsk(target, createAsk('b'), at(0));
	issuer.addAsk(target, createAsk('c', {count: 3}), at(0));
	issuer.addAsk(target, createAsk('b', {number: 2}), at(1));
	const grants = [400, 800].flatMap(ms => issuer.issue(() => true, at(ms)));
	expect(grants.map(({ask, count}) => [ask.asker as string, ask.number, count])).toEqual([['b', 2, 1], ['c', 1, 1]]);
});

test('estimates the wait from the asks ahead', () => {
	const issuer = new PermitIssuer();
	const target = createLimitedTarget(4);
	expect(issuer.addAsk(target, createAsk('a', {count: 2}), at(0))).toEqual(1000);
	expect(issuer.addAsk(target, createAsk('b'), at(0))).toEqual(2000);
	expect(issuer.calculateWaitMs(at(0))).toEqual(1000);
});

test('stops when the limit has ended or another instance is the issuer', () => {
	const issuer = new PermitIssuer();
	const target = createLimitedTarget(2);
	issuer.addAsk(target, createAsk('a'), at(0));
	expect(issuer.issue(() => false, at(60_000))).toEqual([]);
	expect(issuer.targetCount).toEqual(0);
	issuer.addAsk(target, createAsk('a'), at(0));
	target.limit.recordAbsent(at(1));
	expect(issuer.issue(() => true, at(60_000))).toEqual([]);
	expect(issuer.calculateWaitMs(at(60_000))).toEqual(undefined);
});
