import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {createGatewayStop} from './index.js';

/** Creates a planned stop of a gateway with calls in progress, and records the order in which components stop. */
function createRecordedStop(callsInProgress: number) {
	const clock = new ManualClock();
	const steps: string[] = [];
	const recordStep = (step: string) => () => {
		steps.push(`${step} at ${clock.readMonotonic()}`);
	};

	const controller = new AbortController();
	controller.signal.addEventListener('abort', recordStep('tasks ended'));
	const listener = {
		isLeaving: false, callsInProgress, close: recordStep('listener closed'), abortCalls: recordStep('calls aborted'),
	};
	const stop = createGatewayStop({
		clock, logger: quietLogger, graceMs: 8000, addressValiditySeconds: 1, controller, listener,
		membership: {markLeaving: recordStep('leaving'), stop: recordStep('membership stopped')},
		rollout: {
			async stop() {
				recordStep('rollout released')();
			},
		},
	});
	return {
		clock, steps, listener, stop,
	};
}

test('guards against refused connections of callers with a cached address: the listener stays open until the address expires', async () => {
	const {clock, steps, listener, stop} = createRecordedStop(0);
	void stop.run();
	expect(listener.isLeaving).toEqual(true);
	await clock.advance(10_000);
	expect(steps).toEqual(['leaving at 0', 'rollout released at 0', 'listener closed at 3300', 'membership stopped at 3300', 'tasks ended at 3300']);
});

test('guards against a process killed with calls in progress: they are aborted before the grace period ends', async () => {
	const {clock, steps, stop} = createRecordedStop(3);
	void stop.run();
	await clock.advance(10_000);
	expect(steps).toInclude('calls aborted at 7400');
	expect(steps.at(-1)).toEqual('tasks ended at 7400');
});
