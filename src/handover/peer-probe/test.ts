import {createServer, type RequestListener} from 'node:http';
import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {SystemClock} from '../../clock/clock/index.js';
import {TargetClient} from '../../forwarding/target-client/index.js';
import {listenLocally} from '../../http/listen-locally/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import {PeerProbe} from './index.js';

const id = 'a' as InstanceId;
const clock = new SystemClock();

/** Starts an instance whose process answers requests as `handle` does. */
async function startProbedPeer(t: TestContext, handle: RequestListener) {
	const server = createServer(handle);
	const destination = {description: {address: await listenLocally(server)}};
	t.after(() => {
		server.closeAllConnections();
		server.close();
	});
	return {probe: new PeerProbe(clock, new TargetClient()), peer: {id, destination}};
}

/** Checks an instance for a call sent `elapsedMs` ago. */
async function checkUntil(probe: PeerProbe, peer: Parameters<PeerProbe['check']>[0], elapsedMs: number): Promise<boolean> {
	const since = clock.readMonotonic();
	let now: MonotonicMs = since;
	while (now - since < elapsedMs) {
		probe.check(peer, since, now);
		await clock.sleep(50);
		now = clock.readMonotonic();
	}

	return probe.check(peer, since, now) > since;
}

test('guards against taking an instance for silent that answers, whatever its answer is', async t => {
	const {probe, peer} = await startProbedPeer(t, (_message, response) => {
		response.writeHead(400).end();
	});
	expect(await checkUntil(probe, peer, 450)).toEqual(true);
});

test('guards against taking a kernel that accepts connections for a process that answers', async t => {
	const {probe, peer} = await startProbedPeer(t, () => {
		// The process stands still.
	});
	expect(await checkUntil(probe, peer, 700)).toEqual(false);
});

test('guards against bytes from before a call that count as a sign of life for it', async t => {
	const {probe, peer} = await startProbedPeer(t, () => {
		// Nothing is asked within this test.
	});
	probe.recordHeard(id);
	const since = clock.readMonotonic() + 10 as MonotonicMs;
	expect(probe.check(peer, since, since)).toEqual(since);
});
