/**
 * Finds out whether the caller of a request is still there.
 *
 * A caller may end its sending side after a whole request and still read the answer. That looks the same as a caller that has
 * closed its connection, until something is written to it: the system of a caller that has left answers with a reset, and the
 * write after that fails. So a caller that ends its side before its answer has begun gets interim responses, which it may
 * discard. Nothing may be written between the parts of an answer that has begun; a caller that ends its side then counts as
 * gone, because one that only has nothing more to send would have done so after its request.
 */

import type {ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {abortResponse} from '../abort-response/index.js';
import {waitForArrivedData} from '../wait-for-arrived-data/index.js';

/** Time between the first two interim responses, in milliseconds; each pause after it is twice as long. */
const probePauseMs = 25;
const pauseFactor = 2;
/** Time for which a request waits whose caller has ended its side before it was read, in milliseconds; long enough for three interim responses. */
const confirmationMs = 90;

/** Watches one caller until its response has ended. */
export class CallerWatch {
	private timer: NodeJS.Timeout | undefined;
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
		if (this.response.headersSent) {
			abortResponse(this.response);
		} else {
			this.probe(probePauseMs);
		}
	}

	/** Sends interim responses until the answer begins. Callers of HTTP/1.0 know none; a write of the answer shows whether they are there. */
	private probe(pauseMs: number): void {
		const {response} = this;
		if (response.headersSent || response.destroyed || response.req.httpVersion === '1.0') {
			return;
		}

		response.writeContinue();
		this.timer = setTimeout(() => {
			this.probe(pauseMs * pauseFactor);
		}, pauseMs);
	}
}
