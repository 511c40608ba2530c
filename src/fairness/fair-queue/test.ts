import {describe, test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {MonotonicMs, OrganisationId} from '../../identity/ids/index.js';
import type {RouterError} from '../../results/create-router-error/index.js';
import {FairQueue, type QueueEntry} from './index.js';

const seed = 21;

/** Queue in front of engines that can take `freeSlots` more requests. */
class QueueFixture {
	freeSlots = 0;
	readonly started: string[] = [];
	readonly refused: RouterError[] = [];
	readonly queue: FairQueue;

	constructor(maximumEntries = 100) {
		this.queue = new FairQueue({maximumEntries});
	}

	add(organisation: string, options: Partial<Pick<QueueEntry, 'weight' | 'costTokens'>> & {deadline?: number; now?: number} = {}): () => void {
		return this.queue.enqueue({
			organisation: organisation as OrganisationId, weight: options.weight ?? 1, costTokens: options.costTokens ?? 4096,
			deadline: (options.deadline ?? 10_000) as MonotonicMs,
			start: () => {
				if (this.freeSlots === 0) {
					return false;
				}

				this.freeSlots -= 1;
				this.started.push(organisation);
				return true;
			},
			refuse: error => {
				this.refused.push(error);
			},
		}, (options.now ?? 0) as MonotonicMs);
	}

	drain(freeSlots: number, now = 0): string[] {
		this.freeSlots = freeSlots;
		this.started.length = 0;
		this.queue.drain(now as MonotonicMs);
		return [...this.started];
	}

	addMany(count: number, organisation: string, options: Parameters<QueueFixture['add']>[1] = {}): void {
		for (let index = 0; index < count; index += 1) {
			this.add(organisation, options);
		}
	}
}

function countOccurrences(list: readonly string[], name: string): number {
	return list.filter(item => item === name).length;
}

describe('FairQueue', () => {
	test('guards against a flood of requests of one organisation that makes others wait', () => {
		const fixture = new QueueFixture();
		fixture.addMany(20, 'flood');
		fixture.addMany(2, 'small');
		expect(countOccurrences(fixture.drain(4), 'small')).toEqual(2);
	});

	test('guards against shares that ignore weight or cost', () => {
		const fixture = new QueueFixture(1000);
		fixture.addMany(60, 'heavy', {weight: 3});
		fixture.addMany(60, 'light');
		expect(countOccurrences(fixture.drain(40), 'heavy')).toEqual(30);
		const other = new QueueFixture(1000);
		other.addMany(60, 'long', {costTokens: 16_384});
		other.addMany(60, 'short', {costTokens: 4096});
		const started = other.drain(25);
		expect(Math.abs(countOccurrences(started, 'short') - 20)).toBeLessThanOrEqual(2);
	});

	test('guards against a disconnected caller that keeps its place', () => {
		const fixture = new QueueFixture();
		const remove = fixture.add('a');
		fixture.add('b');
		remove();
		remove();
		expect([fixture.queue.length, fixture.drain(5)]).toEqual([1, ['b']]);
		expect(fixture.refused.length).toEqual(0);
	});

	test('guards against a request that is served after its deadline, or refused without being marked as not run', () => {
		const fixture = new QueueFixture();
		fixture.add('a', {deadline: 100});
		expect(fixture.drain(0, 99)).toEqual([]);
		expect(fixture.drain(1, 101)).toEqual([]);
		expect([fixture.refused[0]?.entry.name, fixture.refused[0]?.entry.notRun]).toEqual(['overloaded', true]);
		expect(fixture.refused[0]?.retryAfterSeconds ?? 0).toBeGreaterThan(0);
	});

	test('guards against queueing requests that can\'t be served before their deadline', () => {
		const fixture = new QueueFixture();
		fixture.addMany(50, 'a', {deadline: 60_000});
		for (let now = 100; now <= 1000; now += 100) {
			fixture.drain(1, now);
		}

		// One request per 100 ms is served, so the 41st waits 4 s.
		expect(() => fixture.add('a', {deadline: 2000, now: 1000})).toThrow('would exceed the deadline');
		expect(() => fixture.add('b', {deadline: 2000, now: 1000})).not.toThrow();
	});

	test('guards against a flood of requests that takes the queue capacity of other organisations', () => {
		const fixture = new QueueFixture(10);
		expect(() => {
			fixture.addMany(20, 'flood');
		}).toThrow('the request cannot be served before its deadline');
		expect(() => fixture.add('small')).not.toThrow();
	});

	test(`guards against lost, repeated or unfairly delayed requests, seed ${seed}`, () => {
		const add = fc.record({organisation: fc.constantFrom('a', 'b', 'c'), costTokens: fc.integer({min: 1, max: 20_000}), isRemoved: fc.boolean()});
		fc.assert(fc.property(fc.array(add, {maxLength: 60, size: 'max'}), fc.integer({min: 1, max: 5}), (additions, freeSlots) => {
			const fixture = new QueueFixture(1000);
			const removals = additions.map(item => ({remove: fixture.add(item.organisation, item), item}));
			for (const {remove} of removals.filter(({item}) => item.isRemoved)) {
				remove();
			}

			const started: string[] = [];
			for (let step = 0; step <= additions.length; step += 1) {
				started.push(...fixture.drain(freeSlots));
			}

			const expected = additions.filter(item => !item.isRemoved).map(item => item.organisation);
			expect(started.toSorted((a, b) => a.localeCompare(b))).toEqual(expected.toSorted((a, b) => a.localeCompare(b)));
			expect(fixture.queue.length).toEqual(0);
		}), {seed, numRuns: 200});
	});
});
