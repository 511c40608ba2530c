import {after, describe, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {createLogger} from '../../logging/create-logger/index.js';
import {Cluster} from '../../process/cluster/index.js';
import {startLoad} from '../../process/cluster-caller/index.js';
import {PlannedStop} from './index.js';

function createStop(drain: () => Promise<void>) {
	const clock = new ManualClock();
	const steps: string[] = [];
	const recordStep = (step: string) => () => {
		steps.push(`${step} at ${clock.readMonotonic()}`);
	};

	const stop = new PlannedStop({
		clock, logger: createLogger({}, true), addressValidityMs: 100, marginMs: 50, maximumMs: 1000,
		leave: recordStep('leave'),
		async drain() {
			recordStep('drain')();
			await drain();
		},
		abortRequests: recordStep('cut'),
		async release() {
			recordStep('release')();
		},
	});
	return {clock, steps, stop};
}

async function waitForever(): Promise<void> {
	await new Promise(() => {
		// A stream that never ends.
	});
}

describe('PlannedStop', () => {
	test('guards against draining while callers may still use the cached address', async () => {
		const {clock, steps, stop} = createStop(async () => undefined);
		const outcome = stop.run();
		await clock.advance(2000);
		expect({outcome: await outcome, steps}).toEqual({outcome: 'drained', steps: ['leave at 0', 'drain at 150', 'release at 150']});
	});

	test('guards against a stop that never ends, or that a second signal does not end', async () => {
		const slow = createStop(waitForever);
		const slowOutcome = slow.stop.run();
		await slow.clock.advance(1000);
		expect({outcome: await slowOutcome, steps: slow.steps.slice(2)}).toEqual({outcome: 'cutShort', steps: ['cut at 1000', 'release at 1000']});
		const forced = createStop(waitForever);
		const forcedOutcome = forced.stop.run();
		await forced.clock.advance(200);
		forced.stop.force();
		expect({outcome: await forcedOutcome, steps: forced.steps.slice(2)}).toEqual({outcome: 'cutShort', steps: ['cut at 200', 'release at 200']});
	});
});

describe('planned stop of processes', () => {
	let measuredRefusals: readonly string[] | undefined;

	test('guards against failed requests during a rolling restart of the daemons', {timeout: 60_000}, async () => {
		const cluster = new Cluster({daemons: 3, settings: {addressValidityMs: 500, stop: {marginMs: 500}}});
		after(async () => cluster.stop());
		await cluster.start();
		const stopLoad = await startLoad(cluster, 8);
		const exitCodes: Array<number | null> = [];
		for (const [index, daemon] of [...cluster.daemons].entries()) {
			exitCodes.push(await Promise.race([daemon.end('SIGTERM'), delay(5000, null, {ref: false})]));
			await daemon.end('SIGKILL');
			await cluster.startDaemon(index);
			await cluster.waitUntilReady(index);
		}

		const {complete, failures, budgetRefusals} = await stopLoad();
		measuredRefusals = budgetRefusals;
		await cluster.stop();
		expect({exitCodes, cut: failures.length, example: failures[0]}).toEqual({exitCodes: [0, 0, 0], cut: 0, example: undefined});
		expect(complete).toBeGreaterThan(50);
	});

	test('guards against requests refused by the budget during the same rolling restart', () => {
		const observed = {isMeasured: measuredRefusals !== undefined, refused: measuredRefusals?.length, example: measuredRefusals?.[0]};
		expect(observed).toEqual({isMeasured: true, refused: 0, example: undefined});
	});
});
