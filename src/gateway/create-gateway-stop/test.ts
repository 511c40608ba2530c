import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {createGatewayStop} from './index.js';

/** A gateway with calls in progress, and the order in which its parts stop. */
function createStopping(callsInProgress: number) {
	const clock = new ManualClock();
	const steps: string[] = [];
	const note = (step: string) => () => {
		steps.push(`${step} at ${clock.readMonotonic()}`);
	};

	const controller = new AbortController();
	controller.signal.addEventListener('abort', note('tasks ended'));
	const listener = {
		isLeaving: false, callsInProgress, close: note('listener closed'), cutAll: note('calls cut'),
	};
	const stop = createGatewayStop({
		clock, logger: quietLogger, graceMs: 8000, addressValiditySeconds: 1, controller, listener,
		membership: {markLeaving: note('leaving'), stop: note('membership stopped')},
		rollout: {
			async stop() {
				note('rollout released')();
			},
		},
	});
	return {
		clock, steps, listener, stop,
	};
}

test('guards against callers that still use an address: it listens on for as long as they may keep it', async () => {
	const {clock, steps, listener, stop} = createStopping(0);
	void stop.run();
	expect(listener.isLeaving).toEqual(true);
	await clock.advance(10_000);
	expect(steps).toEqual(['leaving at 0', 'rollout released at 0', 'listener closed at 3300', 'membership stopped at 3300', 'tasks ended at 3300']);
});

test('guards against a process that is killed with calls in progress: they are cut before the grace period ends', async () => {
	const {clock, steps, stop} = createStopping(3);
	void stop.run();
	await clock.advance(10_000);
	expect(steps).toInclude('calls cut at 7400');
	expect(steps.at(-1)).toEqual('tasks ended at 7400');
});
