/**
 * Splits a stream of bytes into lines of text. The bytes are decoded here, because `undici` may deliver the first ones
 * undecoded, whatever encoding is set afterwards.
 */

import {StringDecoder} from 'node:string_decoder';
import VError from 'verror';

/** Longest line, in characters. A faulty server may send a line without end. */
const defaultMaximumLength = 16 * 1024 * 1024;

/** Collects bytes that arrive in chunks. */
export class LineSplitter {
	private readonly decoder = new StringDecoder('utf8');
	private readonly incompleteLine: string[] = [];
	private incompleteLength = 0;

	constructor(private readonly maximumLength = defaultMaximumLength) {}

	/** Adds a chunk; returns the lines that it completes, without their line feeds. Throws a `VError` if a line is too long. */
	add(chunk: Buffer): string[] {
		const texts = this.decoder.write(chunk).split('\n');
		const last = texts.pop()!;
		const lines = texts.map(text => this.completeLine(text));
		this.append(last);
		return lines;
	}

	private completeLine(text: string): string {
		this.append(text);
		const line = this.incompleteLine.join('');
		this.incompleteLine.length = 0;
		this.incompleteLength = 0;
		return line;
	}

	private append(text: string): void {
		this.incompleteLength += text.length;
		if (this.incompleteLength > this.maximumLength) {
			throw new VError('a line has more than %d characters', this.maximumLength);
		}

		this.incompleteLine.push(text);
	}
}
