import {describe, test} from 'node:test';
import {expect} from 'earl';
import type {BlockKey, Incarnation, MonotonicMs} from '../../identity/ids/index.js';
import type {CacheEvent} from '../engine-client/index.js';
import {CacheIndex} from './index.js';

const blocks = ['a', 'b', 'c'] as BlockKey[];
const now = 1000 as MonotonicMs;
const scope = createScope('incarnation-1');

function createScope(incarnation: string, text = 'travel v1') {
	return {incarnation: incarnation as Incarnation, scope: text};
}

function createEvent(sequence: number, type: CacheEvent['type'], keys: readonly BlockKey[] = [], incarnation = 'incarnation-1'): CacheEvent {
	return {
		incarnation: incarnation as Incarnation, sequence, type, blocks: keys,
	};
}

/** Creates an index that contains `blocks` at sequence number 5. */
function createIndex(maximumBlocks?: number): CacheIndex {
	const index = new CacheIndex(maximumBlocks);
	index.applySnapshot({incarnation: scope.incarnation, sequence: 5, blocks});
	return index;
}

describe('CacheIndex', () => {
	test('guards against counting blocks that were evicted', () => {
		const index = createIndex();
		expect(index.countPrefix(blocks, scope, now)).toEqual(3);
		expect(index.applyEvent(createEvent(6, 'evicted', blocks.slice(1, 2)))).toEqual('applied');
		expect(index.countPrefix(blocks, scope, now)).toEqual(1);
	});

	test('guards against counting a block whose eviction was lost in a gap', () => {
		const index = createIndex();
		expect(index.applyEvent(createEvent(7, 'stored', ['d' as BlockKey]))).toEqual('outOfSync');
		expect([index.countPrefix(blocks, scope, now), index.needsSnapshot, index.missedEventCount]).toEqual([0, true, 1]);
	});

	test('guards against missing a gap that only a heartbeat reveals', () => {
		const index = createIndex();
		expect(index.applyEvent(createEvent(5, 'heartbeat'))).toEqual('applied');
		expect(index.applyEvent(createEvent(6, 'heartbeat'))).toEqual('outOfSync');
	});

	test('guards against a delayed event that restores a block missing from the snapshot', () => {
		const index = createIndex();
		expect(index.applyEvent(createEvent(5, 'stored', ['old' as BlockKey]))).toEqual('ignored');
		expect(index.countPrefix(['old' as BlockKey], scope, now)).toEqual(0);
	});

	test('guards against counting entries of an earlier incarnation, whichever report arrives first', () => {
		const index = createIndex();
		expect(index.countPrefix(blocks, createScope('incarnation-2'), now)).toEqual(0);
		expect(index.applyEvent(createEvent(1, 'stored', blocks, 'incarnation-2'))).toEqual('outOfSync');
		expect(index.countPrefix(blocks, scope, now)).toEqual(0);
		index.reset('incarnation-2' as Incarnation);
		expect(index.applySnapshot({incarnation: scope.incarnation, sequence: 9, blocks})).toEqual(false);
	});

	test('guards against a check of invariant 1 that misses a violation', () => {
		const index = createIndex();
		index.recordSent(blocks, scope, now);
		expect(() => index.countPrefix(blocks, createScope('incarnation-1', 'another organisation'), now)).toThrow('invariant 1 violated');
	});

	test('guards against blocks of own requests that count as cached forever without an event', () => {
		const index = createIndex();
		const sent = ['x', 'y'] as BlockKey[];
		index.recordSent(sent, scope, now);
		expect(index.countPrefix(sent, scope, now)).toEqual(2);
		expect(index.countPrefix(sent, scope, now + 3001 as MonotonicMs)).toEqual(0);
	});

	test('guards against an index that grows without bound', () => {
		const index = createIndex(10);
		for (let sequence = 6; sequence < 1000; sequence += 1) {
			index.applyEvent(createEvent(sequence, 'stored', [`block-${sequence}` as BlockKey]));
		}

		expect(index.size).toEqual(10);
	});
});
