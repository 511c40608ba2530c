/**
 * Response to a caller of HTTP/1.0. Its protocol has no chunks, and a body that ends with its connection looks complete when
 * the process is killed, so an answer without a length is collected and sent with its length once it is complete.
 */

import {ByteCollector} from '../../streams/byte-collector/index.js';
import {ResponseSink} from '../response-sink/index.js';

/** Larger answers are broken off, in bytes. */
const maximumCollectedBytes = 4 * 1024 * 1024;

type Head = {readonly status: number; readonly headers: readonly string[]};

/** Sink that sends an answer without length only as a whole. */
export class CollectingSink extends ResponseSink {
	/** Head of the answer that is being collected; undefined if it is sent as it arrives. */
	private head: Head | undefined;
	private readonly collector = new ByteCollector();

	override begin(status: number, headers: readonly string[]): void {
		if (hasLength(headers)) {
			super.begin(status, headers);
		} else {
			this.head = {status, headers};
		}
	}

	override write(chunk: Buffer): boolean {
		if (this.head === undefined) {
			return super.write(chunk);
		}

		if (this.response.destroyed) {
			return true;
		}

		if (this.collector.sizeBytes + chunk.length > maximumCollectedBytes) {
			this.destroy();
		} else {
			this.collector.add(chunk);
		}

		return true;
	}

	override end(): void {
		if (this.head === undefined) {
			super.end();
			return;
		}

		const {status, headers} = this.head;
		const body = this.collector.take();
		this.response.writeHead(status, [...headers, 'content-length', String(body.length)]);
		this.response.end(body);
	}

	override destroy(): void {
		this.collector.clear();
		super.destroy();
	}
}

/** Whether headers, as alternating names and values, state the length of the body. */
function hasLength(headers: readonly string[]): boolean {
	return headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length');
}
