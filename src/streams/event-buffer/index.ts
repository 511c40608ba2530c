/**
 * Cuts a stream of server-sent events into whole events. Lines may end with a line feed or with a carriage return and
 * a line feed; a blank line ends an event. Each byte is looked at once, however short the chunks are.
 */

import {ByteCollector} from '../byte-collector/index.js';

const lineFeed = 0x0A;
const carriageReturn = 0x0D;

/** What the last bytes of an incomplete event are: the end of a line, that and a carriage return, or anything else. */
type Ending = 'line' | 'lineAndReturn' | 'text';

/** Holds the bytes of an event until it is complete. */
export class EventBuffer {
	private readonly pending = new ByteCollector();
	private ending: Ending = 'text';

	/** A target that sends `maximumEventBytes` without an end of an event would fill the memory. */
	constructor(private readonly maximumEventBytes: number) {}

	/** Adds a chunk and returns the events that it completes, with their blank lines. Throws a `RangeError` if an incomplete event is too large. */
	add(chunk: Buffer): Buffer[] {
		const events: Buffer[] = [];
		let start = 0;
		for (let end = this.findEventEnd(chunk, start); end !== -1; end = this.findEventEnd(chunk, start)) {
			this.pending.add(chunk.subarray(start, end));
			events.push(this.pending.take());
			start = end;
		}

		this.pending.add(chunk.subarray(start));
		if (this.pending.sizeBytes > this.maximumEventBytes) {
			throw new RangeError(`an event exceeds ${this.maximumEventBytes} bytes`);
		}

		return events;
	}

	/** Whether no bytes have come since the last complete event. */
	get isEmpty(): boolean {
		return this.pending.sizeBytes === 0;
	}

	/** Removes and returns the bytes after the last complete event. */
	flush(): Buffer {
		this.ending = 'text';
		return this.pending.take();
	}

	/** Returns the position after the blank line that ends the current event, or -1; remembers how the bytes of the chunk end. */
	private findEventEnd(chunk: Buffer, start: number): number {
		let position = start;
		while (position < chunk.length) {
			const byte = chunk[position]!;
			position += 1;
			if (byte === lineFeed && this.ending !== 'text') {
				this.ending = 'text';
				return position;
			}

			if (byte === lineFeed) {
				this.ending = 'line';
			} else if (byte === carriageReturn && this.ending === 'line') {
				this.ending = 'lineAndReturn';
			} else {
				this.ending = 'text';
				position = skipToLineFeed(chunk, position);
			}
		}

		return -1;
	}
}

/** Returns the position of the next line feed, or the length of the chunk. */
function skipToLineFeed(chunk: Buffer, position: number): number {
	const next = chunk.indexOf(lineFeed, position);
	return next === -1 ? chunk.length : next;
}
