import {test} from 'node:test';
import {expect} from 'earl';
import {createFleetTarget} from '../../fixtures/create-fleet-target/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import {PermitIssuer} from '../permit-issuer/index.js';

const windowMs = 1000;
const stepMs = 1;
/** Time from the issue of a permit until the refusal of its request is reported, in milliseconds. */
const reportMs = 60;

/** Issues permits to instances that always want some; returns when each request reached the target that refuses all while `isFull`. */
function issueTo(refusalsPerSecond: number, isFull: (ms: number) => boolean, untilMs: number) {
	const issuer = new PermitIssuer();
	const target = createFleetTarget('t1');
	target.brittleness.recordStated(refusalsPerSecond, 0 as MonotonicMs);
	const sentAt: number[] = [];
	const refusedAt: number[] = [];
	for (let ms = 1; ms < untilMs; ms += stepMs) {
		const now = ms as MonotonicMs;
		for (const at of refusedAt.filter(refused => refused + reportMs === ms)) {
			issuer.recordRefused(target, at + reportMs as MonotonicMs);
		}

		for (const asker of ['a', 'b', 'c']) {
			issuer.addAsk(target, {
				asker: asker as InstanceId, number: 1, count: 16, expiresAt: ms + windowMs as MonotonicMs,
			}, now);
		}

		for (const {count} of issuer.issue(() => true, now)) {
			(isFull(ms) ? refusedAt : sentAt).push(...Array.from({length: count}, () => ms));
		}
	}

	return {sentAt, refusedAt};
}

function findHighest(times: readonly number[]): number {
	return Math.max(0, ...times.map(end => times.filter(at => at > end - windowMs && at <= end).length));
}

test('guards against more refusals in a second than the target can turn away, when it has no room at any rate that was reached', () => {
	for (const refusalsPerSecond of [1, 2, 3, 4, 5, 7, 10, 16, 33, 100]) {
		for (const fullFromMs of [1, 700, 8000]) {
			const {refusedAt} = issueTo(refusalsPerSecond, ms => ms >= fullFromMs, fullFromMs + 5000);
			expect([refusalsPerSecond, fullFromMs, findHighest(refusedAt) <= refusalsPerSecond]).toEqual([refusalsPerSecond, fullFromMs, true]);
		}
	}
});

test('guards against a target that stays idle after it had no room for a time', () => {
	const {sentAt} = issueTo(10, ms => ms >= 4000 && ms < 6000, 16_000);
	expect(sentAt.filter(at => at >= 14_000).length / 2 >= 15).toEqual(true);
});

test('guards against a target that can turn nothing away and gets requests that it may refuse', () => {
	expect(issueTo(0, () => false, 10_000).sentAt.length <= 2).toEqual(true);
});
