import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {
	answerAfterPause, answerAnotherCall, answerError, breakOff, continueStream, formatAnswer, formatChunk, formatEvent, formatEvents, formatRequest,
	freezeWithinStream, idempotent, lastChunk, pauseWithinStream, playCall, refuse, resumableStream, startTargets, staySilent, streamHead, writeLater,
	type PlayOptions, type Script, type TargetEvent,
} from '../../fixtures/play-call/index.js';
import {createFixedRetries} from '../../fixtures/create-fixed-retries/index.js';
import {sendRawRequest} from '../../fixtures/send-raw-request/index.js';
import type {StreamOrigins} from '../stream-origins/index.js';
import type {MonotonicMs, SoftwareVersion} from '../../identity/ids/index.js';
import type {StreamKey} from '../../resumption/stream-key/index.js';
import {StreamRegister} from '../../resumption/stream-register/index.js';

const failures: ReadonlyArray<readonly [string, Script]> = [
	['refuses', refuse], ['breaks off', breakOff], ['answers another call', answerAnotherCall], ['answers with an error', answerError], ['is silent, too', staySilent],
];

for (const [name, fail] of failures) {
	test(`guards against cutting the stream of a silent but sound target when the next one ${name}`, async t => {
		const {body, isComplete, unfinishedCalls, events} = await playCall(t, {route: resumableStream, scripts: [pauseWithinStream, fail]});
		expect({body, isComplete, unfinishedCalls}).toEqual({body: formatEvents(1, 2), isComplete: true, unfinishedCalls: 0});
		expect(events.filter(({type}) => type === 'received').map(({lastEventId}) => lastEventId)).toEqual([undefined, '1']);
	});

	test(`guards against losing the answer of a silent but sound target when the next one ${name}`, async t => {
		const {body, isComplete, unfinishedCalls} = await playCall(t, {route: idempotent, scripts: [answerAfterPause, fail]});
		expect({body, isComplete, unfinishedCalls}).toEqual({body: 'first', isComplete: true, unfinishedCalls: 0});
	});
}

test('guards against two targets that both go on with a stream: the attempt at the second ends when the first goes on', async t => {
	const goOnSlowly: Script = (socket, id) => {
		socket.write(streamHead(id) + formatChunk(formatEvent(1)));
		writeLater(socket, formatChunk(formatEvent(2)), 1400);
		writeLater(socket, formatChunk(formatEvent(3)) + lastChunk, 2000);
	};

	const answerLate: Script = (socket, id) => {
		writeLater(socket, streamHead(id) + formatChunk(formatEvent(2)) + formatChunk(formatEvent(3)) + lastChunk, 700);
	};

	const {body, isComplete, events, unfinishedCalls} = await playCall(t, {route: resumableStream, scripts: [goOnSlowly, answerLate]});
	expect({body, isComplete, unfinishedCalls}).toEqual({body: formatEvents(1, 2, 3), isComplete: true, unfinishedCalls: 0});
	const closed = events.find(({attempt, type}) => attempt === 2 && type === 'closed');
	expect(closed !== undefined && closed.atMs < 1700).toEqual(true);
});

test('guards against two targets that both go on with a stream: the attempt at the first ends with the first event of the second', async t => {
	const eventDelayMs = 250;
	const beginSlowly: Script = (socket, id) => {
		socket.write(streamHead(id));
		writeLater(socket, formatChunk(formatEvent(2)), eventDelayMs);
		writeLater(socket, formatChunk(formatEvent(3)) + lastChunk, 900);
	};

	const {body, isComplete, events, unfinishedCalls} = await playCall(t, {route: resumableStream, scripts: [pauseWithinStream, beginSlowly]});
	expect({body, isComplete, unfinishedCalls}).toEqual({body: formatEvents(1, 2, 3), isComplete: true, unfinishedCalls: 0});
	const eventAt = events.find(({attempt, type}) => attempt === 2 && type === 'received')!.atMs + eventDelayMs;
	const closed = events.find(({attempt, type}) => attempt === 1 && type === 'closed')!.atMs;
	expect(Math.abs(closed - eventAt) < 150).toEqual(true);
});

test('guards against staying at a frozen target: its streams and calls go on elsewhere as soon as they are taken for stalled', async t => {
	const stream = await playCall(t, {route: resumableStream, scripts: [freezeWithinStream, continueStream]});
	expect([stream.body, stream.isComplete, stream.durationMs < 1500]).toEqual([formatEvents(1, 2), true, true]);
	const call = await playCall(t, {
		route: idempotent, scripts: [staySilent, (socket, id) => {
			socket.write(formatAnswer(id, '200 OK', 'second'));
		}],
	});
	expect([call.body, call.isComplete, call.durationMs < 1700]).toEqual(['second', true, true]);
});

test('guards against staying at two frozen targets when a third can take the call', async t => {
	const {body, isComplete, durationMs, attempts, unfinishedCalls} = await playCall(t, {
		route: resumableStream, scripts: [freezeWithinStream, staySilent, continueStream],
	});
	expect({
		body, isComplete, attempts, unfinishedCalls,
	}).toEqual({
		body: formatEvents(1, 2), isComplete: true, attempts: 3, unfinishedCalls: 0,
	});
	expect(durationMs < 3000).toEqual(true);
});

test('moves again to a third target after the second has refused the call', async t => {
	const {body, isComplete, attempts, durationMs} = await playCall(t, {route: resumableStream, scripts: [freezeWithinStream, refuse, continueStream]});
	expect([body, isComplete, attempts, durationMs < 1700]).toEqual([formatEvents(1, 2), true, 3, true]);
});

test('guards against more runs of a call than its route allows when its moves fail', async t => {
	const {isComplete, attempts} = await playCall(t, {
		route: {...resumableStream, maximumAttempts: 2}, scripts: [freezeWithinStream, breakOff, continueStream], waitMs: 2500,
	});
	expect([isComplete, attempts]).toEqual([false, 2]);
});

test('guards against a second retry for a call whose first target breaks off while the second prepares its answer', async t => {
	const budget = createFixedRetries(1);
	const breakLate: Script = (socket, id) => {
		socket.write(streamHead(id) + formatChunk(formatEvent(1)) + formatChunk('id: 2\nda'));
		setTimeout(() => {
			socket.destroy();
		}, 1400);
	};

	const continueLate: Script = (socket, id, head) => {
		setTimeout(() => {
			continueStream(socket, id, head);
		}, 800);
	};

	const {body, isComplete, attempts, unfinishedCalls} = await playCall(t, {route: resumableStream, scripts: [breakLate, continueLate], budget});
	expect({
		body, isComplete, attempts, unfinishedCalls,
	}).toEqual({
		body: formatEvents(1, 2), isComplete: true, attempts: 2, unfinishedCalls: 0,
	});
	expect(budget.readLevel()).toEqual(0);
});

test('guards against a torn event of the first target in front of the events of the second', async t => {
	const tearEvent: Script = (socket, id) => {
		socket.write(streamHead(id) + formatChunk(formatEvent(1)) + formatChunk('id: 2\nda'));
	};

	const {body, isComplete} = await playCall(t, {route: resumableStream, scripts: [tearEvent, continueStream]});
	expect([body, isComplete]).toEqual([formatEvents(1, 2), true]);
});

test('guards against attempts that stay open at either target when the caller leaves or the deadline passes', async t => {
	const options: PlayOptions = {route: resumableStream, scripts: [freezeWithinStream, staySilent]};
	const expired = await playCall(t, {...options, waitMs: 1600});
	const closedAttempts = (events: readonly TargetEvent[]) => events.filter(({type}) => type === 'closed').map(({attempt}) => attempt).toSorted((a, b) => a - b);
	expect([expired.isComplete, closedAttempts(expired.events), expired.unfinishedCalls]).toEqual([false, [1, 2], 0]);

	const {gateway, events, countCalls} = await startTargets(t, options);
	void sendRawRequest(gateway.address, formatRequest(5000));
	await delay(1400);
	expect(countCalls()).toEqual(2);
	gateway.listener.destroyConnections();
	await delay(50);
	expect([closedAttempts(events), countCalls()]).toEqual([[1, 2], 0]);
});

/** Records the versions that may begin the stream, as the instances that keep the record see them. */
function createRecordedOrigins() {
	const register = new StreamRegister();
	const key = 'k' as StreamKey;
	const streamOrigins: StreamOrigins = {
		record(_stream, {software, recording, expiresAt}) {
			register.add({
				key, software, recording, expiresAt,
			}, 0 as MonotonicMs);
		},
		forget() {
			register.delete(key);
		},
		find: async () => undefined,
	};
	return {streamOrigins, find: () => register.find(key, 0 as MonotonicMs)};
}

test('guards against ending the silent attempt before its stream has an event when another software version takes the call over', async t => {
	const beginLate: Script = (socket, id) => {
		writeLater(socket, streamHead(id) + formatChunk(formatEvents(1, 2)) + lastChunk, 1900);
	};

	const uselessAnswers: readonly Script[] = [refuse, breakOff, staySilent, (socket, id) => {
		socket.write(streamHead(id));
	}];
	for (const fail of uselessAnswers) {
		const {streamOrigins, find} = createRecordedOrigins();
		const {body, isComplete} = await playCall(t, {
			route: {...resumableStream, maximumAttempts: 2}, scripts: [beginLate, fail], softwareVersions: ['v1', 'v2'], streamOrigins,
		});
		expect([body, isComplete, find()]).toEqual([formatEvents(1, 2), true, 'v1']);
	}
});

test('guards against a stream that begins at one software version while its record names the other', async t => {
	const eventDelayMs = 300;
	const {streamOrigins, find} = createRecordedOrigins();
	const findings: unknown[] = [];
	const beginLate: Script = (socket, id) => {
		writeLater(socket, streamHead(id) + formatChunk(formatEvent(1)) + lastChunk, 1900);
	};

	const answerLate: Script = (socket, id) => {
		setTimeout(() => {
			findings.push(find());
		}, eventDelayMs / 2);
		writeLater(socket, streamHead(id) + formatChunk(formatEvent(1)), eventDelayMs);
		setTimeout(() => {
			findings.push(find());
			socket.write(formatChunk(formatEvent(2)) + lastChunk);
		}, eventDelayMs + 50);
	};

	const {body, isComplete, events} = await playCall(t, {
		route: resumableStream, scripts: [beginLate, answerLate], softwareVersions: ['v1', 'v2'], streamOrigins,
	});
	expect([body, isComplete, findings]).toEqual([formatEvents(1, 2), true, ['conflicting', 'v2']]);
	const eventAt = events.find(({attempt, type}) => attempt === 2 && type === 'received')!.atMs + eventDelayMs;
	const closed = events.find(({attempt, type}) => attempt === 1 && type === 'closed')!.atMs;
	expect(Math.abs(closed - eventAt) < 100).toEqual(true);
});

test('guards against leaving a silent target for one whose answer breaks off after its head', async t => {
	const breakOffAfterHead: Script = (socket, id) => {
		socket.write(streamHead(id));
		setTimeout(() => {
			socket.destroy();
		}, 100);
	};

	const {body, isComplete} = await playCall(t, {
		route: {...resumableStream, maximumAttempts: 2}, scripts: [pauseWithinStream, breakOffAfterHead],
	});
	expect({body, isComplete}).toEqual({body: formatEvents(1, 2), isComplete: true});
});

test('guards against ending a silent but sound second attempt for a third that has not delivered', async t => {
	const answerLate: Script = (socket, id) => {
		writeLater(socket, formatAnswer(id, '200 OK', 'second'), 1600);
	};

	for (const fail of [refuse, breakOff, staySilent]) {
		const {body, isComplete} = await playCall(t, {route: idempotent, scripts: [staySilent, answerLate, fail]});
		expect([body, isComplete]).toEqual(['second', true]);
	}
});
