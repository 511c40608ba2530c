import {test} from 'node:test';
import {expect} from 'earl';
import {HeldBytes} from './index.js';

test('guards against bytes that are lost, doubled or out of order', () => {
	const held = new HeldBytes();
	const take = () => held.take().toString();
	expect([take(), held.size]).toEqual(['', 0]);
	held.add(Buffer.from('a'));
	expect([held.size, take(), held.size]).toEqual([1, 'a', 0]);
	for (const text of ['b', '', 'c']) {
		held.add(Buffer.from(text));
	}

	expect([held.size, take(), take()]).toEqual([2, 'bc', '']);
});
