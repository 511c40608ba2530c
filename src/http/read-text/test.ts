import {Readable} from 'node:stream';
import {test} from 'node:test';
import {expect} from 'earl';
import {readText} from './index.js';

test('joins characters that are split between chunks', async () => {
	const bytes = Buffer.from('grüße');
	expect(await readText(Readable.from([bytes.subarray(0, 3), bytes.subarray(3)]), 100)).toEqual('grüße');
});

test('guards against an answer without end that takes all memory: its source is closed', async () => {
	let sent = 0;
	const body = new Readable({
		read() {
			sent += 1000;
			this.push(Buffer.alloc(1000));
		},
	});
	await expect(readText(body, 10_000)).toBeRejectedWith('larger than 10000 bytes');
	expect([body.destroyed, sent < 100_000]).toEqual([true, true]);
});
