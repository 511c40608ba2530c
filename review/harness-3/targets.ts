/** Stand-ins of targets: sound ones, and ones that at times send bytes which are no answer and have no end. */

import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {listenLocally} from '../../src/http/listen-locally/index.js';

const requestIdHeader = 'x-laburnumturn-request-id';
const sealHeader = 'X-Laburnumturn-Server-Seal';
const hexadecimal = 16;
/** Size of one write of bytes without end, in bytes. */
const writeBytes = 16 * 1024;

/** A stand-in that listens. */
export type Target = {readonly address: string; close(): void};

/** A target of plain calls. */
export type PlainTargetOptions = {
	/** Time that a call takes, in milliseconds. */
	readonly workMs: number;
	readonly answerBytes: number;
	/** Called when a call begins. */
	readonly onRun: (id: string) => void;
};

/** Faults of a target: bytes that are no answer, without end. */
export type UnendingFault = {
	/** Size of the chunks in which they come, in bytes. */
	readonly pieceBytes: number;
	/** Whether the next answer is faulty. */
	readonly isFaulty: (id: string) => boolean;
	/** Called when a call begins. */
	readonly onRun: (id: string, isFaulty: boolean) => void;
};

/** A target of streams. */
export type StreamTargetOptions = UnendingFault & {
	/** Number of events of a sound answer, and the pause before each, in milliseconds. */
	readonly events: number;
	readonly pauseMs: number;
};

/** Starts a sound target of plain calls. */
export async function startPlainTarget({workMs, answerBytes, onRun}: PlainTargetOptions): Promise<Target> {
	return startTarget(async (id, response) => {
		onRun(id);
		await answerPlainCall(id, response, {workMs, answerBytes});
	});
}

/** Starts a target of plain calls that at times sends bytes without end. */
export async function startUnendingTarget(options: Omit<PlainTargetOptions, 'onRun'> & UnendingFault): Promise<Target> {
	return startTarget(async (id, response) => {
		const fails = options.isFaulty(id);
		options.onRun(id, fails);
		if (fails) {
			beginAnswer(id, response, 'text/plain');
			sendWithoutEnd(response, options.pieceBytes);
		} else {
			await answerPlainCall(id, response, options);
		}
	});
}

/** Starts a target of streams, which answers with one chunk for each event. */
export async function startStreamTarget(options: StreamTargetOptions): Promise<Target> {
	return startTarget(async (id, response) => {
		const fails = options.isFaulty(id);
		options.onRun(id, fails);
		await delay(options.pauseMs);
		beginAnswer(id, response, 'text/event-stream');
		if (fails) {
			sendWithoutEnd(response, options.pieceBytes);
			return;
		}

		for (let event = 1; event <= options.events && !response.destroyed; event += 1) {
			response.write(`id: ${event}\ndata: token-${event}\n\n`);
			await delay(options.pauseMs);
		}

		response.end();
	});
}

/** Starts a server that answers each request once it has arrived as a whole. */
async function startTarget(answer: (id: string, response: ServerResponse) => Promise<void>): Promise<Target> {
	const server = createServer((message: IncomingMessage, response) => {
		message.resume();
		message.once('end', () => {
			void answer(String(message.headers[requestIdHeader] ?? ''), response);
		});
	});
	const address = await listenLocally(server);
	return {
		address,
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
}

async function answerPlainCall(id: string, response: ServerResponse, {workMs, answerBytes}: Omit<PlainTargetOptions, 'onRun'>): Promise<void> {
	await delay(workMs);
	beginAnswer(id, response, 'text/plain', answerBytes);
	response.end('a'.repeat(answerBytes));
}

/** Sends the head of an answer. Without a length, the body comes in chunks. */
function beginAnswer(id: string, response: ServerResponse, type: string, bytes?: number): void {
	response.writeHead(200, {
		'X-Laburnumturn-Request-Id': id, [sealHeader]: `seal-${id}`, 'Content-Type': type, ...(bytes !== undefined && {'Content-Length': bytes}),
	});
	response.flushHeaders();
}

/** Sends chunks of `pieceBytes` until the other side closes. */
function sendWithoutEnd({socket}: ServerResponse, pieceBytes: number): void {
	const chunk = `${pieceBytes.toString(hexadecimal)}\r\n${'x'.repeat(pieceBytes)}\r\n`;
	const block = Buffer.from(chunk.repeat(Math.ceil(writeBytes / chunk.length)));
	const send = () => {
		while (socket?.destroyed === false && socket.write(block)) {
			// The next write follows at once.
		}
	};

	socket?.on('drain', send);
	send();
}
