/** Memory that a value retains: the growth of the heap, measured after garbage collections. */

import process from 'node:process';

const garbageCollections = 3;

/** Returns the bytes that the result of `build` retains. Requires `--expose-gc`. */
export async function measureHeap(build: () => unknown): Promise<number> {
	const before = readBytesAfterCollection();
	const value = await build();
	const after = readBytesAfterCollection();
	keepAlive(value);
	return after - before;
}

function readBytesAfterCollection(): number {
	const collect = globalThis.gc;
	if (collect === undefined) {
		throw new Error('measuring memory requires node --expose-gc');
	}

	for (let index = 0; index < garbageCollections; index += 1) {
		collect();
	}

	// The external memory includes that of buffers.
	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
}

let retainedValue: unknown;

/** Keeps `value` reachable until after the second reading. */
function keepAlive(value: unknown): void {
	retainedValue = value;
	retainedValue = undefined;
}
