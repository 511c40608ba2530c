import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {EvaluationDelay} from './index.js';

test('guards against a whole fleet that announces a quarantine at once: only an instance that saw the crash itself decides as such', async () => {
	const clock = new ManualClock(1000);
	const delay = new EvaluationDelay(clock);
	const waitForSource = async () => {
		const decision = delay.wait();
		await clock.advance(100);
		const {source} = await decision;
		return source;
	};

	expect(await waitForSource()).toEqual('peer');
	delay.recordOwnCrash(clock.readMonotonic());
	expect(await waitForSource()).toEqual('own');
	expect(await waitForSource()).toEqual('own');
	expect(await waitForSource()).toEqual('peer');
});
