import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {SystemClock} from '../../clock/clock/index.js';
import {discardRemainingBody} from '../../http/discard-remaining-body/index.js';
import {listenLocally} from '../../http/listen-locally/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import type {EventLogger, LogFields} from '../../logging/create-logger/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {convertToRouterError} from '../../results/create-router-error/index.js';
import type {BodyLimits} from '../body-budget/index.js';
import {CallerIntake} from './index.js';

const maximumBodyBytes = 100_000;

/** Starts a server that answers with the length of the body, or with the status and the name of the error. */
async function startServer(limits: BodyLimits, logger: EventLogger = quietLogger, answerBytes = 0) {
	const responses = new Set<ServerResponse>();
	const intake = new CallerIntake({clock: new SystemClock(), logger, readLimits: () => limits});
	intake.addAnswers(() => responses);
	const server = createServer((message, response) => {
		const reader = intake.openBody(message);
		responses.add(response);
		response.once('close', () => {
			responses.delete(response);
			reader.release();
		});
		reader.read(maximumBodyBytes).then(body => {
			response.end(`length ${body.length}${'a'.repeat(answerBytes)}`);
		}, (error: unknown) => {
			const {entry, notRun} = convertToRouterError(error);
			response.writeHead(entry.httpStatus).end(`${entry.name} ${notRun}`);
			discardRemainingBody(message, maximumBodyBytes);
		});
	});
	const {host, port} = parseAddress(await listenLocally(server));
	return {
		intake,
		open: () => connect({host, port}),
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
}

/** Resolves to the first data of an answer. */
async function readAnswer(socket: Socket): Promise<string> {
	const [data] = await once(socket, 'data') as [Buffer];
	return data.toString('latin1');
}

const head = 'POST / HTTP/1.1\r\nhost: a\r\n';

test('guards against refusing a caller that sends while others stand still and hold the memory', async () => {
	const server = await startServer({heldBytes: 1000, stallMs: 5000});
	try {
		const stopped = Array.from({length: 4}, () => server.open());
		const answers = stopped.map(async socket => readAnswer(socket));
		for (const socket of stopped) {
			socket.write(`${head}content-length: 100000\r\n\r\n${'a'.repeat(99_999)}`);
		}

		const answer = await Promise.race(answers);
		expect([answer.startsWith('HTTP/1.1 503'), answer.includes('overloaded true')]).toEqual([true, true]);
		await delay(300);
		const sender = server.open();
		sender.write(`${head}content-length: 100000\r\n\r\n`);
		for (let index = 0; index < 100; index += 1) {
			sender.write('a'.repeat(1000));
			await delay(1);
		}

		const sentAnswer = await readAnswer(sender);
		expect(sentAnswer.includes('length 100000')).toEqual(true);
		expect(server.intake.budget.refusals.memory >= 2).toEqual(true);
		for (const socket of stopped) {
			socket.destroy();
		}
	} finally {
		server.close();
	}
});

test('guards against bodies that stand still and keep their memory', async () => {
	const server = await startServer({heldBytes: 1_000_000, stallMs: 300});
	try {
		const socket = server.open();
		socket.write(`${head}transfer-encoding: chunked\r\n\r\n5\r\naaaaa\r\n`);
		const answer = await readAnswer(socket);
		expect([answer.startsWith('HTTP/1.1 408'), answer.includes('requestTimeout true')]).toEqual([true, true]);
		expect([server.intake.budget.heldBytes, server.intake.budget.refusals.stalled]).toEqual([0, 1]);
	} finally {
		server.close();
	}
});

test('guards against keeping what arrived of a body above the limit', async () => {
	const server = await startServer({heldBytes: 1_000_000, stallMs: 5000});
	try {
		const socket = server.open();
		socket.write(`${head}transfer-encoding: chunked\r\n\r\n30d40\r\n${'a'.repeat(150_000)}`);
		const answer = await readAnswer(socket);
		expect(answer.startsWith('HTTP/1.1 413')).toEqual(true);
		expect(server.intake.budget.heldBytes).toEqual(0);
		socket.write('a'.repeat(150_000));
		await Promise.race([once(socket, 'close'), once(socket, 'error')]);
	} finally {
		server.close();
	}
});

test('guards against refusals that nobody learns of, and against a line for each of them', async () => {
	const lines: Array<LogFields | undefined> = [];
	const logger = {
		...quietLogger,
		warn(_event: string, fields?: LogFields) {
			lines.push(fields);
		},
	};
	const server = await startServer({heldBytes: 1_000_000, stallMs: 300}, logger);
	try {
		const sockets = Array.from({length: 5}, () => server.open());
		for (const socket of sockets) {
			socket.write(`${head}content-length: 200000\r\n\r\n`);
			await readAnswer(socket);
		}

		await delay(600);
		expect(lines.map(fields => fields?.tooLarge)).toEqual([5]);
	} finally {
		server.close();
	}
});

test('guards against answers that callers do not read and that keep the memory when it is short', async () => {
	const answerBytes = 20_000_000;
	const server = await startServer({heldBytes: 1_000_000, stallMs: 5000}, quietLogger, answerBytes);
	try {
		const socket = server.open();
		socket.write(`${head}content-length: 2\r\n\r\n{}`);
		socket.pause();
		await delay(600);
		const {budget, gauges} = server.intake;
		expect(budget.unreadBytes > 1_000_000).toEqual(true);
		await delay(1600);
		expect([budget.unreadBytes, budget.count, gauges.unread_answers_aborted.read()]).toEqual([0, 0, 1]);
		socket.destroy();
	} finally {
		server.close();
	}
});

test('guards against giving up callers that do not read while there is memory for their answers', async () => {
	const server = await startServer({heldBytes: 100_000_000, stallMs: 5000}, quietLogger, 20_000_000);
	try {
		const socket = server.open();
		socket.write(`${head}content-length: 2\r\n\r\n{}`);
		socket.pause();
		await delay(2200);
		expect([server.intake.budget.count, server.intake.gauges.unread_answers_aborted.read()]).toEqual([1, 0]);
		socket.destroy();
	} finally {
		server.close();
	}
});
