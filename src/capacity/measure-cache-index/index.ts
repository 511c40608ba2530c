/** Memory of the cache index per block, and processor time per cache event. */

import type {BlockKey, Incarnation} from '../../identity/ids/index.js';
import {CacheIndex} from '../../targets/cache-index/index.js';
import type {CacheEvent} from '../../targets/engine-client/index.js';
import {createMeasurement, type Measurement} from '../measurement/index.js';
import {measureHeap} from '../measure-heap/index.js';
import {measureProcessorTime} from '../measure-processor-time/index.js';

const blockCounts = [25_000, 50_000, 100_000, 200_000];
const eventCounts = [50_000, 100_000, 200_000];
const incarnation = 'engine-1' as Incarnation;
const microsecondsPerMs = 1000;

/** Measures bytes per indexed block and processor time per event. */
export async function measureCacheIndex(): Promise<Measurement[]> {
	const memoryPoints = [];
	for (const size of blockCounts) {
		memoryPoints.push({size, value: await measureHeap(() => createFullIndex(size))});
	}

	const timePoints = [];
	for (const size of eventCounts) {
		timePoints.push({size, value: await measureProcessorTime(() => applyEvents(size)) * microsecondsPerMs});
	}

	return [
		createMeasurement('cache-index-memory', 'cache index, per block', 'bytes per block', memoryPoints),
		createMeasurement('cache-event-time', 'parsing and applying cache events, per event', 'µs per event', timePoints),
	];
}

function createFullIndex(count: number): CacheIndex {
	const index = new CacheIndex(count);
	index.applySnapshot({incarnation, sequence: 0, blocks: createBlocks(0, count)});
	return index;
}

/** Applies events that alternately store and evict a block, as those of an engine under load with a full cache do. */
function applyEvents(count: number): CacheIndex {
	const index = new CacheIndex();
	index.applySnapshot({incarnation, sequence: 0, blocks: []});
	for (let sequence = 1; sequence <= count; sequence += 1) {
		const eventJson = JSON.stringify({
			incarnation, sequence, type: sequence % 2 === 0 ? 'evicted' : 'stored', blocks: createBlocks(Math.floor(sequence / 2), 1),
		});
		index.applyEvent(JSON.parse(eventJson) as CacheEvent);
	}

	return index;
}

/** Creates keys through JSON, as keys received from an engine are, so that no strings are shared. */
function createBlocks(firstIndex: number, count: number): BlockKey[] {
	const text = JSON.stringify(Array.from({length: count}, (_, index) => (firstIndex + index).toString(16).padStart(16, '0')));
	return JSON.parse(text) as BlockKey[];
}
