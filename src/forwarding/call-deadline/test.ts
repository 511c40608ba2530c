import {setTimeout as delay} from 'node:timers/promises';
import {test} from 'node:test';
import {expect} from 'earl';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {holdEventLoop, startWorkerTarget} from '../../fixtures/start-worker-target/index.js';
import {startTestGateway} from '../../fixtures/start-test-gateway/index.js';
import {sendRawRequest} from '../../fixtures/send-raw-request/index.js';
import {SystemClock} from '../../clock/clock/index.js';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {createRoute, createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {Route} from '../../routing/routing-types/index.js';
import {CallDeadline} from './index.js';

const arrivedAt = 1000 as MonotonicMs;

/** Creates the deadline of a call that arrived at 1000 ms. */
function createDeadline(waitMs: number | undefined, route: Partial<Route>): CallDeadline {
	return new CallDeadline({call: {waitMs}, route: createRoute('r', route), arrivedAt}, new ManualClock());
}

test('extends a call by a raised timeout up to what its caller waits, and never shortens it', () => {
	const deadline = createDeadline(3000, {timeoutMs: 500});
	expect([deadline.extend({timeoutMs: 2000}), deadline.read()]).toEqual([true, 3000 as MonotonicMs]);
	expect([deadline.extend({timeoutMs: 200}), deadline.read()]).toEqual([false, 3000 as MonotonicMs]);
	expect([deadline.extend({timeoutMs: 9000}), deadline.read()]).toEqual([true, 4000 as MonotonicMs]);
	expect(deadline.timeoutMs).toEqual(3000);
});

test('gives targets the time of the caller for streams, and that of the route for other calls', () => {
	const now = 1200 as MonotonicMs;
	expect(createDeadline(3000, {kind: 'streaming', timeoutMs: 500}).measureWorkMs(now)).toEqual(2800);
	expect(createDeadline(undefined, {kind: 'streaming', timeoutMs: 500}).measureWorkMs(now)).toEqual(300);
	expect(createDeadline(3000, {kind: 'nonIdempotent', timeoutMs: 500}).measureWorkMs(now)).toEqual(300);
});

test('expires once, at the deadline in force', async () => {
	const clock = new SystemClock();
	const deadline = new CallDeadline({call: {waitMs: undefined}, route: createRoute('r', {timeoutMs: 50}), arrivedAt: clock.readMonotonic()}, clock);
	let expired = 0;
	deadline.start(() => {
		expired += 1;
	});
	deadline.extend({timeoutMs: 250});
	await delay(120);
	expect(expired).toEqual(0);
	await delay(250);
	expect(expired).toEqual(1);
});

test('guards against a call that is ended at its deadline although its answer had arrived and waits unread', async t => {
	const address = await startWorkerTarget(t, 300);
	const configuration = createRoutingConfiguration({routes: [createRoute('r', {host: 'h', kind: 'nonIdempotent', timeoutMs: 800})]});
	const gateway = await startTestGateway(configuration, [createDescription('t0', {address, weightsVersions: new Map()})]);
	t.after(() => {
		gateway.close();
	});
	const answer = sendRawRequest(gateway.address, 'POST /x HTTP/1.1\r\nHost: h\r\nx-id: c1\r\nContent-Length: 4\r\n\r\nbody');
	await holdEventLoop(900);
	const {head} = await answer;
	expect(head.split('\r\n')[0]).toEqual('HTTP/1.1 200 OK');
});
