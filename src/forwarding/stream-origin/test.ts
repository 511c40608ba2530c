import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {request} from 'undici';
import {createDescription, createFleetTarget} from '../../fixtures/create-fleet-target/index.js';
import {createRoute, createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import {createStreamOrigin} from '../../fixtures/create-stream-origin/index.js';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import {startTestGateway} from '../../fixtures/start-test-gateway/index.js';
import type {TargetDescription} from '../../fleet/fleet-target/index.js';
import {firstEventRecording} from '../stream-origins/index.js';
import type {MonotonicMs, RequestId, SoftwareVersion} from '../../identity/ids/index.js';
import type {StreamKey} from '../../resumption/stream-key/index.js';
import {StreamRegister} from '../../resumption/stream-register/index.js';

test('guards against a stream whose version changes with the target that continues it', () => {
	const records: unknown[] = [];
	const origin = createStreamOrigin({}, undefined, records);
	const older = createFleetTarget('t1');
	const newer = createFleetTarget('t2', {softwareVersion: 'v2' as SoftwareVersion});
	expect([origin.isBound, origin.allows(older), origin.allows(newer)]).toEqual([false, true, true]);
	origin.recordSent([newer]);
	origin.recordSent([older]);
	origin.recordEvent(older);
	origin.recordSent([newer]);
	origin.recordEvent(newer);
	expect([origin.isBound, origin.allows(older), origin.allows(newer)]).toEqual([true, true, false]);
	origin.end();
	expect(records).toEqual([['c1', 'v2', 1, 1000], ['c1', 'v1', 2, 1000], ['c1', 'v1', firstEventRecording, 1000]]);
});

test('guards against a record that names one version while two may write the first event, and one that names two after it', () => {
	const records: unknown[] = [];
	const origin = createStreamOrigin({}, undefined, records);
	const older = createFleetTarget('t1');
	const newer = createFleetTarget('t2', {softwareVersion: 'v2' as SoftwareVersion});
	origin.recordSent([older]);
	origin.recordSent([older, newer]);
	origin.recordEvent(older);
	origin.recordEvent(older);
	expect(records).toEqual([['c1', 'v1', 1, 1000], ['c1', 'v1', 2, 1000], ['c1', 'v2', 2, 1000], ['c1', 'v1', firstEventRecording, 1000]]);
	expect([origin.allows(older), origin.allows(newer)]).toEqual([true, false]);
});

test('guards against a stream taken up that forgets under which request it began, or goes on although its version is not certain', async () => {
	const records: unknown[] = [];
	const takenUp = {lastEventId: '7', resumes: 'c0' as RequestId};
	const origin = createStreamOrigin(takenUp, 'v2', records);
	expect([origin.isBound, await origin.bindTakenUp(), origin.isBound]).toEqual([false, true, true]);
	const target = createFleetTarget('t2', {softwareVersion: 'v2' as SoftwareVersion});
	expect([origin.allows(target), origin.allows(createFleetTarget('t1'))]).toEqual([true, false]);
	origin.recordSent([target]);
	expect(records).toEqual([['c0', 'v2', 1, 1000]]);
	expect(await createStreamOrigin(takenUp).bindTakenUp()).toEqual(false);
	expect(await createStreamOrigin({}).bindTakenUp()).toEqual(true);
});

/** Formats the head of an answer and its first event; `isComplete`: also the end of its body. */
function formatAnswer(id: string, event: string, isComplete: boolean): string {
	return `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n${event.length.toString(16)}\r\n${event}\r\n${isComplete ? '0\r\n\r\n' : ''}`;
}

const resumableRoute = createRoute('r', {
	host: '127.0.0.1', kind: 'streaming', isResumable: true, maximumAttempts: 3,
});

/** Reads a stream of a gateway with the given targets. */
async function readStream(targets: readonly TargetDescription[]) {
	const gateway = await startTestGateway(createRoutingConfiguration({routes: [resumableRoute]}), targets);
	try {
		return await readAnswer(gateway.address, 'c1');
	} finally {
		gateway.close();
	}
}

/** Reads the answer to one call as far as it comes. */
async function readAnswer(address: string, id: string) {
	const answer = await request(`http://${address}/x`, {headers: {'x-id': id}, method: 'POST', body: 'body'});
	const chunks: Buffer[] = [];
	let isComplete = true;
	try {
		for await (const chunk of answer.body) {
			chunks.push(chunk as Buffer);
		}
	} catch {
		isComplete = false;
	}

	return {isComplete, text: Buffer.concat(chunks).toString()};
}

/** Versions of the software of three targets. The first two break each stream after one event, the third completes it. */
const softwareVersions = ['v1', 'v2', 'v1'];

test('guards against a stream that goes on at a target of another software version', async t => {
	const servers = await Promise.all(softwareVersions.map(async (version, index) => startRawServer((socket, head) => {
		const id = /x-id: (\S+)/u.exec(head)?.[1] ?? '';
		const next = Number(/last-event-id: (\d+)/u.exec(head)?.[1] ?? 0) + 1;
		socket.write(formatAnswer(id, `id: ${next}\ndata: ${version}\n\n`, index === 2));
		if (index < 2) {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 50);
		}
	})));
	const descriptions = servers.map(({address}, index) => createDescription(`t${index}`, {
		address, weightsVersions: new Map(), softwareVersion: softwareVersions[index]! as SoftwareVersion,
	}));
	t.after(() => {
		for (const server of servers) {
			server.close();
		}
	});
	const alone = await readStream(descriptions.slice(0, 2));
	expect([alone.isComplete, alone.text.includes('v1'), alone.text.includes('v2')]).toEqual([false, true, false]);
	expect(await readStream(descriptions)).toEqual({isComplete: true, text: 'id: 1\ndata: v1\n\nid: 2\ndata: v1\n\n'});
});

test('guards against a stream that goes on at a process which started again under the id of its target, with other software', async t => {
	for (const hasOtherStream of [false, true]) {
		let requests = 0;
		const server = await startRawServer((socket, head) => {
			requests += 1;
			const id = /x-id: (\S+)/u.exec(head)?.[1] ?? '';
			const next = Number(/last-event-id: (\d+)/u.exec(head)?.[1] ?? 0) + 1;
			socket.write(formatAnswer(id, `id: ${next}\ndata: x\n\n`, next === 2));
			if (id === 'c1' && next === 1) {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 50);
			} else if (id === 'c0') {
				// The stream of another caller shows that the process goes on.
				const timer = setInterval(() => {
					socket.write('a\r\n: alive\n\n\n\r\n');
				}, 30);
				socket.once('close', () => {
					clearInterval(timer);
				});
			}
		});
		const gateway = await startTestGateway(createRoutingConfiguration({routes: [resumableRoute]}), [createDescription('t0', {
			address: server.address, weightsVersions: new Map(), softwareVersion: 'v1' as SoftwareVersion,
		})]);
		t.after(() => {
			gateway.close();
			server.close();
		});
		const other = hasOtherStream ? readAnswer(gateway.address, 'c0') : undefined;
		other?.catch(() => {
			// It is cut with the end of the test.
		});
		await delay(hasOtherStream ? 50 : 0);
		const {isComplete} = await readAnswer(gateway.address, 'c1');
		expect({hasOtherStream, isComplete, requests}).toEqual({hasOtherStream, isComplete: hasOtherStream, requests: hasOtherStream ? 3 : 1});
	}
});

test('guards against a stream taken up at another version than its own because two instances that had the call recorded it', () => {
	const records: unknown[] = [];
	const older = createFleetTarget('t1');
	const newer = createFleetTarget('t2', {softwareVersion: 'v2' as SoftwareVersion});
	const first = createStreamOrigin({}, undefined, records);
	const second = createStreamOrigin({}, undefined, records);
	first.recordSent([older]);
	// The first instance stands still. The second one sends the call twice, and the first one goes on before it has an event.
	second.recordSent([newer]);
	second.recordSent([newer]);
	first.recordEvent(older);
	const register = new StreamRegister();
	const now = 0 as MonotonicMs;
	for (const [key, software, recording, expiresAt] of records as Array<[string, SoftwareVersion, number, MonotonicMs]>) {
		register.add({
			key: key as StreamKey, software, recording, expiresAt,
		}, now);
	}

	expect(register.find('c1' as StreamKey, now)).not.toEqual('v2' as SoftwareVersion);
});

test('guards against an instance that trusts its record of a stream of which its caller got no event from it', () => {
	const records: unknown[] = [];
	const origin = createStreamOrigin({}, undefined, records);
	origin.recordSent([createFleetTarget('t1')]);
	origin.end();
	expect(records).toEqual([['c1', 'v1', 1, 1000], ['c1', 'forgotten']]);
});

test('guards against forgetting the version of a stream because an attempt to take it up has failed', async () => {
	const records: unknown[] = [];
	const origin = createStreamOrigin({lastEventId: '7', resumes: 'c0' as RequestId}, 'v1', records);
	await origin.bindTakenUp();
	origin.recordSent([createFleetTarget('t1')]);
	origin.end();
	expect(records).toEqual([['c0', 'v1', 1, 1000]]);
});
