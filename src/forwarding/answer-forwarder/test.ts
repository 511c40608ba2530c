import {test} from 'node:test';
import {expect} from 'earl';
import {
	answerAfterPause, continueStream, formatAnswer, formatChunk, formatEvent, formatEvents, freezeWithinStream, idempotent, lastChunk,
	pauseWithinStream, playCall, resumableStream, staySilent, streamHead, writeLater, type Script,
} from '../../fixtures/play-call/index.js';
import {createRoute, createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';

const wholeStream = formatEvents(1, 2);
const readStatus = (head: string) => Number(head.split(' ')[1]);
const partialBody = 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n';

/** A sound target that is silent before the head of its stream. */
const pauseBeforeStream: Script = (socket, id) => {
	writeLater(socket, streamHead(id) + formatChunk(wholeStream) + lastChunk, 1900);
};

/** A sound target that is silent between the head of its stream and the first event. */
const pauseAfterHead: Script = (socket, id) => {
	socket.write(streamHead(id));
	writeLater(socket, formatChunk(wholeStream) + lastChunk, 1700);
};

/** Sends `text` after the head of a stream, and breaks off 100 ms later. */
const breakOffAfter = (text: string): Script => (socket, id) => {
	socket.write(streamHead(id) + text);
	setTimeout(() => {
		socket.destroy();
	}, 100);
};

/** Sends `text` after the head of a stream, and nothing more. */
const freezeAfter = (text: string): Script => (socket, id) => {
	socket.write(streamHead(id) + text);
};

const soundStreams: ReadonlyArray<readonly [string, Script]> = [
	['within its stream', pauseWithinStream], ['before the head of its stream', pauseBeforeStream], ['after the head of its stream', pauseAfterHead],
];

const uselessStreams: ReadonlyArray<readonly [string, Script]> = [
	['sends a head and is silent, too', freezeAfter('')],
	['sends a head and breaks off', breakOffAfter('')],
	['sends half an event and breaks off', breakOffAfter(formatChunk('id: 2\nda'))],
	['sends half an event and is silent', freezeAfter(formatChunk('id: 2\nda'))],
	['ends its answer without an event', freezeAfter(lastChunk)],
	['sends text that is no event', freezeAfter(formatChunk('sorry\n\n') + lastChunk)],
	['sends comments only', freezeAfter(formatChunk(': ping\n\n'))],
];

for (const [pause, first] of soundStreams) {
	for (const [name, second] of uselessStreams) {
		test(`guards against leaving a target that is silent ${pause} for one that ${name}`, async t => {
			const {body, isComplete, unfinishedCalls} = await playCall(t, {route: {...resumableStream, maximumAttempts: 2}, scripts: [first, second]});
			expect({body, isComplete, unfinishedCalls}).toEqual({body: wholeStream, isComplete: true, unfinishedCalls: 0});
		});
	}
}

const uselessAnswers: ReadonlyArray<readonly [string, Script]> = [
	['sends a head and is silent, too', (socket, id) => {
		socket.write(`${partialBody}x-id: ${id}\r\n\r\n`);
	}],
	['sends half a body and breaks off', (socket, id) => {
		socket.write(`${partialBody}x-id: ${id}\r\n\r\nhalf`);
		setTimeout(() => {
			socket.destroy();
		}, 100);
	}],
	['sends half a body and is silent', (socket, id) => {
		socket.write(`${partialBody}x-id: ${id}\r\n\r\nhalf`);
	}],
];

for (const [name, second] of uselessAnswers) {
	test(`guards against leaving a silent target, whose answer may be repeated, for one that ${name}`, async t => {
		const {body, isComplete, unfinishedCalls} = await playCall(t, {route: {...idempotent, maximumAttempts: 2}, scripts: [answerAfterPause, second]});
		expect({body, isComplete, unfinishedCalls}).toEqual({body: 'first', isComplete: true, unfinishedCalls: 0});
	});
}

test('guards against a stream that is cut after a change of the configuration because its second target breaks off after the head', async t => {
	const route = createRoute('r', {
		host: 'h', ...resumableStream, timeoutMs: 1200, maximumAttempts: 1,
	});
	const changes = [[], [route], [{...route, kind: 'idempotent' as const}]];
	for (const routes of changes) {
		const {body, isComplete} = await playCall(t, {
			route: {...resumableStream, maximumAttempts: 2}, scripts: [pauseWithinStream, breakOffAfter('')],
			meanwhile(gateway) {
				setTimeout(() => {
					gateway.apply(createRoutingConfiguration({routes}));
				}, 400);
			},
		});
		expect([body, isComplete]).toEqual([wholeStream, true]);
	}
});

test('guards against a stream that two targets end without an event and that never ends for its caller', async t => {
	const endEmpty: Script = (socket, id) => {
		writeLater(socket, streamHead(id) + lastChunk, 1700);
	};

	const {head, body, isComplete, durationMs} = await playCall(t, {route: resumableStream, scripts: [endEmpty, freezeAfter(lastChunk)]});
	expect([readStatus(head), body, isComplete, durationMs < 2200]).toEqual([200, '', true, true]);
});

test('guards against losing the end of a stream whose first target breaks off after the second has found nothing left to send', async t => {
	const breakLate: Script = (socket, id) => {
		socket.write(streamHead(id) + formatChunk(formatEvent(1)));
		setTimeout(() => {
			socket.destroy();
		}, 1800);
	};

	const {body, isComplete, attempts} = await playCall(t, {route: resumableStream, scripts: [breakLate, freezeAfter(lastChunk)]});
	expect([body, isComplete, attempts]).toEqual([formatEvent(1), true, 2]);
});

test('guards against a torn event in front of the next one when the second target breaks off and a third continues', async t => {
	const {body, isComplete, attempts} = await playCall(t, {
		route: resumableStream, scripts: [freezeWithinStream, breakOffAfter(formatChunk('id: 2\nda')), continueStream],
	});
	expect([body, isComplete, attempts]).toEqual([wholeStream, true, 3]);
});

test('guards against leaving a silent target for one that only repeats an event and breaks off', async t => {
	const repeat = breakOffAfter(formatChunk(formatEvent(1)));
	const {body, isComplete} = await playCall(t, {route: {...resumableStream, maximumAttempts: 2}, scripts: [pauseWithinStream, repeat]});
	expect([body, isComplete]).toEqual([wholeStream, true]);
});

test('guards against a head of one answer with the body of another when the first target answers after the second has sent half', async t => {
	const answerHalf: Script = (socket, id) => {
		socket.write(`HTTP/1.1 201 Created\r\nx-id: ${id}\r\nContent-Length: 9\r\n\r\nhalf`);
	};

	const {head, body, isComplete} = await playCall(t, {route: idempotent, scripts: [answerAfterPause, answerHalf]});
	expect([readStatus(head), body, isComplete]).toEqual([200, 'first', true]);
});

test('guards against replacing the answer of a sound first target by an unmarked refusal of the second', async t => {
	const refuseUnmarked: Script = (socket, id) => {
		socket.write(formatAnswer(id, '429 Too Many Requests', 'no'));
	};

	const {head, body, isComplete} = await playCall(t, {route: idempotent, scripts: [answerAfterPause, refuseUnmarked]});
	expect([readStatus(head), body, isComplete]).toEqual([200, 'first', true]);
});

test('guards against losing the end of a stream that pauses at its second target while a third is silent', async t => {
	const pauseBeforeEnd: Script = (socket, id) => {
		socket.write(streamHead(id) + formatChunk(formatEvent(2)));
		writeLater(socket, lastChunk, 1600);
	};

	const {body, isComplete, unfinishedCalls} = await playCall(t, {
		route: resumableStream, scripts: [freezeWithinStream, pauseBeforeEnd, staySilent],
	});
	expect({body, isComplete, unfinishedCalls}).toEqual({body: wholeStream, isComplete: true, unfinishedCalls: 0});
});

test('guards against losing the end of a stream whose first target stays frozen after the second has found nothing left to send', async t => {
	const {body, isComplete} = await playCall(t, {
		route: {...resumableStream, maximumAttempts: 2}, scripts: [freezeWithinStream, freezeAfter(lastChunk)], waitMs: 3500,
	});
	expect([body, isComplete]).toEqual([formatEvent(1), true]);
});

test('guards against losing a whole answer that is no stream because the first target stays frozen', async t => {
	const answerWhole: Script = (socket, id) => {
		socket.write(formatAnswer(id, '200 OK', '{"text":"x"}'));
	};

	const {head, body, isComplete} = await playCall(t, {
		route: {...resumableStream, maximumAttempts: 2}, scripts: [staySilent, answerWhole], waitMs: 3500,
	});
	expect([readStatus(head), body, isComplete]).toEqual([200, '{"text":"x"}', true]);
});

test('guards against breaking off the stream of the only target for a large comment', async t => {
	const comment = `: ${'x'.repeat(300 * 1024)}\n\n`;
	const sendComment: Script = (socket, id) => {
		socket.write(streamHead(id) + formatChunk(formatEvent(1)) + formatChunk(comment) + formatChunk(formatEvent(2)) + lastChunk);
	};

	const {body, isComplete} = await playCall(t, {route: {...resumableStream, maximumAttempts: 1}, scripts: [sendComment]});
	expect([body.length, isComplete]).toEqual([wholeStream.length + comment.length, true]);
});

test('guards against memory that a target fills with comments while another attempt is in flight', async t => {
	const comments = formatChunk(`: ${'x'.repeat(60_000)}\n\n`).repeat(6);
	const {body, isComplete, events} = await playCall(t, {
		route: {...resumableStream, maximumAttempts: 2}, scripts: [pauseWithinStream, freezeAfter(comments)],
	});
	expect([body, isComplete]).toEqual([wholeStream, true]);
	const received = events.find(({attempt, type}) => attempt === 2 && type === 'received')!.atMs;
	const closed = events.find(({attempt, type}) => attempt === 2 && type === 'closed')!.atMs;
	expect(closed - received < 300).toEqual(true);
});

test('guards against an event without an id of one run in front of the first events of another run', async t => {
	const sendWithoutId: Script = (socket, id) => {
		socket.write(streamHead(id) + formatChunk('data: a\n\n'));
		writeLater(socket, formatChunk('data: b\n\n') + lastChunk, 1700);
	};

	const {body, isComplete} = await playCall(t, {route: resumableStream, scripts: [sendWithoutId, freezeAfter(formatChunk(wholeStream) + lastChunk)]});
	expect([body, isComplete]).toEqual(['data: a\n\ndata: b\n\n', true]);
});

test('guards against replacing a whole answer that is no stream by one without a body', async t => {
	const answerWhole: Script = (socket, id) => {
		writeLater(socket, formatAnswer(id, '200 OK', '{"text":"x"}'), 1500);
	};

	const endEmpty: Script = (socket, id) => {
		writeLater(socket, streamHead(id) + lastChunk, 700);
	};

	const {head, body, isComplete} = await playCall(t, {route: {...resumableStream, maximumAttempts: 2}, scripts: [answerWhole, endEmpty]});
	expect([readStatus(head), body, isComplete]).toEqual([200, '{"text":"x"}', true]);
});

/** A sound target that answers with an error of its own after a pause. */
const failAfterPause: Script = (socket, id) => {
	writeLater(socket, formatAnswer(id, '500 Error', 'own error'), 1600);
};

test('guards against dropping the error of a target because the call was sent to another one, which is silent or breaks off', async t => {
	const breakOffLate: Script = socket => {
		setTimeout(() => {
			socket.destroy();
		}, 800);
	};

	for (const second of [staySilent, breakOffLate]) {
		const {head, body, isComplete, durationMs} = await playCall(t, {route: {...idempotent, maximumAttempts: 2}, scripts: [failAfterPause, second]});
		expect([readStatus(head), body, isComplete, durationMs < 4500]).toEqual([500, 'own error', true, true]);
	}
});

test('guards against passing the error of one target on while another one can still answer, or a third', async t => {
	const answerLate: Script = (socket, id) => {
		writeLater(socket, formatAnswer(id, '200 OK', 'late'), 900);
	};

	const refuseLate: Script = (socket, id) => {
		writeLater(socket, `HTTP/1.1 503 Full\r\nx-id: ${id}\r\nx-not-run: true\r\nContent-Length: 0\r\n\r\n`, 600);
	};

	const answerAtOnce: Script = (socket, id) => {
		socket.write(formatAnswer(id, '200 OK', 'third'));
	};

	const second = await playCall(t, {route: idempotent, scripts: [failAfterPause, answerLate]});
	expect([second.body, second.attempts]).toEqual(['late', 2]);
	const third = await playCall(t, {route: idempotent, scripts: [failAfterPause, refuseLate, answerAtOnce]});
	expect([third.body, third.attempts]).toEqual(['third', 3]);
});
