import {setTimeout as delay} from 'node:timers/promises';
import {test} from 'node:test';
import {expect} from 'earl';
import {onHangup} from './index.js';

test('guards against a hang-up that ends a process which is still starting: it is kept until somebody listens', async () => {
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
