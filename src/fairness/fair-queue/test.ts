import {describe, test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {MonotonicMs, OrganisationId} from '../../identity/ids/index.js';
import type {RouterError} from '../../results/create-router-error/index.js';
import {FairQueue, type QueueEntry} from './index.js';

const seed = 21;

/** A queue with engines that have room for `room` more requests. */
class Bench {
	room = 0;
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
				if (this.room === 0) {
					return false;
				}

				this.room -= 1;
				this.started.push(organisation);
				return true;
			},
			refuse: error => {
				this.refused.push(error);
			},
		}, (options.now ?? 0) as MonotonicMs);
	}

	drain(room: number, now = 0): string[] {
		this.room = room;
		this.started.length = 0;
		this.queue.drain(now as MonotonicMs);
		return [...this.started];
	}

	addMany(count: number, organisation: string, options: Parameters<Bench['add']>[1] = {}): void {
		for (let index = 0; index < count; index += 1) {
			this.add(organisation, options);
		}
	}
}

function countOf(list: readonly string[], name: string): number {
	return list.filter(item => item === name).length;
}

describe('FairQueue', () => {
	test('guards against an organisation that floods and makes others wait behind it', () => {
		const bench = new Bench();
		bench.addMany(20, 'flood');
		bench.addMany(2, 'small');
		expect(countOf(bench.drain(4), 'small')).toEqual(2);
	});

	test('guards against shares that ignore weight or cost', () => {
		const bench = new Bench(1000);
		bench.addMany(60, 'heavy', {weight: 3});
		bench.addMany(60, 'light');
		expect(countOf(bench.drain(40), 'heavy')).toEqual(30);
		const other = new Bench(1000);
		other.addMany(60, 'long', {costTokens: 16_384});
		other.addMany(60, 'short', {costTokens: 4096});
		const started = other.drain(25);
		expect(Math.abs(countOf(started, 'short') - 20)).toBeLessThanOrEqual(2);
	});

	test('guards against a disconnected caller that keeps its place', () => {
		const bench = new Bench();
		const remove = bench.add('a');
		bench.add('b');
		remove();
		remove();
		expect([bench.queue.length, bench.drain(5)]).toEqual([1, ['b']]);
		expect(bench.refused.length).toEqual(0);
	});

	test('guards against a request that is served after its deadline, or refused without a true "not run"', () => {
		const bench = new Bench();
		bench.add('a', {deadline: 100});
		expect(bench.drain(0, 99)).toEqual([]);
		expect(bench.drain(1, 101)).toEqual([]);
		expect([bench.refused[0]?.entry.name, bench.refused[0]?.entry.notRun]).toEqual(['overloaded', true]);
		expect(bench.refused[0]?.retryAfterSeconds ?? 0).toBeGreaterThan(0);
	});

	test('guards against requests that wait although they cannot be served in time', () => {
		const bench = new Bench();
		bench.addMany(50, 'a', {deadline: 60_000});
		for (let now = 100; now <= 1000; now += 100) {
			bench.drain(1, now);
		}

		// One request per 100 ms is served, so the 41st waits 4 s.
		expect(() => bench.add('a', {deadline: 2000, now: 1000})).toThrow('would exceed the deadline');
		expect(() => bench.add('b', {deadline: 2000, now: 1000})).not.toThrow();
	});

	test('guards against a flood that takes the places of other organisations', () => {
		const bench = new Bench(10);
		expect(() => {
			bench.addMany(20, 'flood');
		}).toThrow('the request cannot be served before its deadline');
		expect(() => bench.add('small')).not.toThrow();
	});

	test(`guards against lost, repeated or unfairly delayed requests, seed ${seed}`, () => {
		const add = fc.record({organisation: fc.constantFrom('a', 'b', 'c'), costTokens: fc.integer({min: 1, max: 20_000}), isRemoved: fc.boolean()});
		fc.assert(fc.property(fc.array(add, {maxLength: 60, size: 'max'}), fc.integer({min: 1, max: 5}), (adds, room) => {
			const bench = new Bench(1000);
			const removes = adds.map(item => ({remove: bench.add(item.organisation, item), item}));
			for (const {remove} of removes.filter(({item}) => item.isRemoved)) {
				remove();
			}

			const started: string[] = [];
			for (let step = 0; step <= adds.length; step += 1) {
				started.push(...bench.drain(room));
			}

			const expected = adds.filter(item => !item.isRemoved).map(item => item.organisation);
			expect(started.toSorted((a, b) => a.localeCompare(b))).toEqual(expected.toSorted((a, b) => a.localeCompare(b)));
			expect(bench.queue.length).toEqual(0);
		}), {seed, numRuns: 200});
	});
});
