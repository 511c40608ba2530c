import {setTimeout as delay} from 'node:timers/promises';
import {test} from 'node:test';
import {expect} from 'earl';
import {onHangup} from './index.js';

test('guards against a SIGHUP that ends a starting process: the signal is held until a listener is set', async () => {
	process.kill(process.pid, 'SIGHUP');
	await delay(50);
	let calls = 0;
	onHangup(() => {
		calls += 1;
	});
	expect(calls).toEqual(1);
	process.kill(process.pid, 'SIGHUP');
	await delay(50);
	expect(calls).toEqual(2);
});
