import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {sendRepeatedly} from './index.js';

test('sends at once and after each pause, so that one lost datagram does no harm', async () => {
	const clock = new ManualClock();
	const times: number[] = [];
	void sendRepeatedly(() => {
		times.push(clock.readMonotonic());
	}, [100, 300], clock);
	await clock.advance(1000);
	expect(times).toEqual([0, 100, 400]);
});
