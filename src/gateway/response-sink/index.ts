/** Passes an answer on to a caller as it arrives. */

import type {ServerResponse} from 'node:http';
import type {CallerSink} from '../../forwarding/call-types/index.js';
import {abortResponse} from '../../http/abort-response/index.js';
import {beginResponse} from '../../http/begin-response/index.js';

/** Sink that writes to a response at once. */
export class ResponseSink implements CallerSink {
	constructor(protected readonly response: ServerResponse) {}

	begin(status: number, headers: readonly string[]): void {
		beginResponse(this.response, {status, headers});
	}

	write(chunk: Buffer): boolean {
		return this.response.write(chunk);
	}

	end(): void {
		this.response.end();
	}

	destroy(): void {
		abortResponse(this.response);
	}

	onDrain(listener: () => void): void {
		this.response.once('drain', listener);
	}
}
