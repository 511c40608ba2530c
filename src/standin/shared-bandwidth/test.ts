import {test} from 'node:test';
import {expect} from 'earl';
import {SharedBandwidth} from './index.js';

/** Measures the simulated time that `count` concurrent transfers of 200 ms take, in milliseconds. */
function measureTransfersMs(count: number): number {
	const bandwidth = new SharedBandwidth<number>(2);
	for (let transfer = 0; transfer < count; transfer += 1) {
		bandwidth.add(transfer, 200);
	}

	let elapsedMs = 0;
	while (bandwidth.size > 0) {
		bandwidth.advance(10);
		elapsedMs += 10;
	}

	return elapsedMs;
}

test('guards against concurrent transfers that do not share bandwidth: four take twice as long as two', () => {
	expect(measureTransfersMs(1)).toEqual(200);
	expect(measureTransfersMs(2)).toEqual(200);
	expect(measureTransfersMs(4)).toEqual(400);
});

test('gives the bandwidth of a removed transfer to the others', () => {
	const bandwidth = new SharedBandwidth<string>(1);
	bandwidth.add('a', 100);
	bandwidth.add('b', 100);
	expect(bandwidth.advance(100)).toEqual([]);
	bandwidth.remove('a');
	expect(bandwidth.advance(50)).toEqual(['b']);
});
