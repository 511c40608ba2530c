/**
 * Splits a stream of bytes into lines of text. The bytes are decoded here, because `undici` may deliver the first ones
 * undecoded, whatever encoding is set afterwards.
 */

import VError from 'verror';
import {ByteCollector} from '../byte-collector/index.js';

const lineFeed = 0x0A;
/** Longest line, in bytes. A faulty server may send a line without end. */
const defaultMaximumBytes = 16 * 1024 * 1024;

/** Collects bytes that arrive in chunks. */
export class LineSplitter {
	private readonly incompleteLine = new ByteCollector();

	constructor(private readonly maximumBytes = defaultMaximumBytes) {}

	/** Adds a chunk; returns the lines that it completes, without their line feeds. Throws a `VError` if a line is too long. */
	add(chunk: Buffer): string[] {
		const lines: string[] = [];
		let start = 0;
		for (let end = chunk.indexOf(lineFeed); end !== -1; end = chunk.indexOf(lineFeed, start)) {
			this.append(chunk.subarray(start, end));
			lines.push(this.incompleteLine.take().toString('utf8'));
			start = end + 1;
		}

		this.append(chunk.subarray(start));
		return lines;
	}

	private append(bytes: Buffer): void {
		if (this.incompleteLine.sizeBytes + bytes.length > this.maximumBytes) {
			throw new VError('a line has more than %d bytes', this.maximumBytes);
		}

		this.incompleteLine.add(bytes);
	}
}
