/** Memory that a value keeps alive, by the difference of the heap after collections. */

import process from 'node:process';

const collections = 3;

/** Returns the bytes that the result of `build` keeps alive. Needs `--expose-gc`. */
export async function measureHeap(build: () => unknown): Promise<number> {
	const before = readSettledBytes();
	const value = await build();
	const after = readSettledBytes();
	keepAlive(value);
	return after - before;
}

function readSettledBytes(): number {
	const collect = globalThis.gc;
	if (collect === undefined) {
		throw new Error('memory can only be measured under --expose-gc');
	}

	for (let index = 0; index < collections; index += 1) {
		collect();
	}

	const {heapUsed, external, arrayBuffers} = process.memoryUsage();
	return heapUsed + external + arrayBuffers;
}

let kept: unknown;

/** Holds a reference until after the second reading. */
function keepAlive(value: unknown): void {
	kept = value;
	kept = undefined;
}
