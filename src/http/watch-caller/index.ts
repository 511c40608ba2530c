/**
 * Finds out whether the caller of a request is still there.
 *
 * A caller may end its sending side after a whole request and still read the answer. That looks the same as a caller that has
 * closed its connection, until something is written to it: the system of a caller that has left answers with a reset, and the
 * write after that fails. So a caller that has ended its side gets bytes that are no part of its answer, and is served until a
 * write fails:
 *
 * - Before the answer has begun, these are interim responses, which a caller may discard.
 * - Within an answer in chunks, they are zeros before the size of the next chunk, which change neither the size nor the body.
 *   An answer that breaks off after them must end with a reset, since a lenient parser may take a zero for the last chunk.
 * - Within an answer with a length, nothing may be written but its body, so only the body shows whether the caller is there.
 */

import type {ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {abortResponse} from '../abort-response/index.js';
import {waitForArrivedData} from '../wait-for-arrived-data/index.js';

/** Time between the first two probes, in milliseconds; each pause after it is twice as long, until the answer goes on. */
const probePauseMs = 25;
const pauseFactor = 2;
/** Zeros before the size of one chunk. Some clients accept no more than 16 digits, of which the size itself needs up to 8. */
const maximumZeros = 8;
/** Time for which a request waits whose caller has ended its side before it was read, in milliseconds; long enough for three interim responses. */
const confirmationMs = 90;

/** Watches one caller until its response has ended. */
export class CallerWatch {
	private timer: NodeJS.Timeout | undefined;
	/** Bytes written to the connection up to the last probe; more of them are of the answer. */
	private writtenBytes = 0;
	/** Zeros written since the answer last went on. */
	private zeros = 0;

	constructor(private readonly response: ServerResponse) {
		const {req: {socket}} = response;
		const handleEnd = () => {
			this.handleEnd();
		};

		socket.once('end', handleEnd);
		response.once('close', () => {
			clearTimeout(this.timer);
			socket.off('end', handleEnd);
		});
		if (socket.readableEnded) {
			this.handleEnd();
		}
	}

	/**
	 * Resolves to whether the caller is still there, once everything that had arrived from it is read. While the event loop is
	 * late, a request can be read long after its caller has given up; without this it would be sent on nevertheless.
	 */
	async confirm(): Promise<boolean> {
		const {req: {socket}} = this.response;
		await waitForArrivedData();
		if (socket.readableEnded && !socket.destroyed) {
			await delay(confirmationMs);
			await waitForArrivedData();
		}

		return !socket.destroyed;
	}

	private handleEnd(): void {
		const {response} = this;
		const {socket} = response.req;
		if (socket.writableEnded) {
			// The server has answered the end with its own, and the connection closes once what was written is sent.
			if (response.headersSent) {
				abortResponse(response);
			}

			return;
		}

		this.writtenBytes = socket.bytesWritten;
		this.probe(probePauseMs);
	}

	/** Sends a probe, unless the answer itself has gone on since the last one, and the next one after `pauseMs`, until the answer ends. */
	private probe(pauseMs: number): void {
		const {response} = this;
		if (response.writableEnded || response.destroyed || !canProbe(response)) {
			return;
		}

		const {socket} = response.req;
		const hasContinued = socket.bytesWritten > this.writtenBytes;
		if (hasContinued) {
			this.zeros = 0;
		} else {
			this.sendProbe();
		}

		this.writtenBytes = socket.bytesWritten;
		const nextPauseMs = hasContinued ? probePauseMs : pauseMs;
		this.timer = setTimeout(() => {
			this.probe(nextPauseMs * pauseFactor);
		}, nextPauseMs);
	}

	private sendProbe(): void {
		const {response} = this;
		if (!response.headersSent) {
			response.writeContinue();
		} else if (response.socket !== null && this.zeros < maximumZeros) {
			this.zeros += 1;
			// The head may still wait for the first chunk.
			response.flushHeaders();
			// Node.js writes chunks only as a whole, so what is written between two of its writes precedes the size of a chunk.
			response.socket.write('0');
		}
	}
}

/** Whether anything may be written that is no part of the answer. Callers of HTTP/1.0 know neither interim responses nor chunks. */
function canProbe({req: {httpVersion}, headersSent, chunkedEncoding}: ServerResponse): boolean {
	return httpVersion !== '1.0' && (!headersSent || chunkedEncoding);
}
