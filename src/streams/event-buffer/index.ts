/**
 * Cuts a stream of server-sent events into whole events. Lines may end with a line feed or with a carriage return and
 * a line feed; a blank line ends an event.
 */

const lineFeed = 0x0A;
const carriageReturn = 0x0D;
/** Bytes at the end of the data that may begin a blank line. */
const maximumPartialBlankLineBytes = 2;
const emptyBuffer = Buffer.alloc(0);

/** Holds the bytes of an event until it is complete. */
export class EventBuffer {
	private pendingBytes: Buffer = emptyBuffer;

	/** A target that sends `maximumEventBytes` without an end of an event would fill the memory. */
	constructor(private readonly maximumEventBytes: number) {}

	/** Adds a chunk and returns the events that it completes, with their blank lines. Throws a `RangeError` if an incomplete event is too large. */
	add(chunk: Buffer): Buffer[] {
		const events: Buffer[] = [];
		let searchFrom = Math.max(0, this.pendingBytes.length - maximumPartialBlankLineBytes);
		this.pendingBytes = this.pendingBytes.length === 0 ? chunk : Buffer.concat([this.pendingBytes, chunk]);
		for (let end = findEventEnd(this.pendingBytes, searchFrom); end !== -1; end = findEventEnd(this.pendingBytes, searchFrom)) {
			events.push(this.pendingBytes.subarray(0, end));
			this.pendingBytes = this.pendingBytes.subarray(end);
			searchFrom = 0;
		}

		if (this.pendingBytes.length > this.maximumEventBytes) {
			throw new RangeError(`an event exceeds ${this.maximumEventBytes} bytes`);
		}

		return events;
	}

	/** Whether no bytes have come since the last complete event. */
	get isEmpty(): boolean {
		return this.pendingBytes.length === 0;
	}

	/** Removes and returns the bytes after the last complete event. */
	flush(): Buffer {
		const {pendingBytes} = this;
		this.pendingBytes = emptyBuffer;
		return pendingBytes;
	}
}

/** Returns the position after the first blank line that follows a line, or -1. */
function findEventEnd(bytes: Buffer, searchFrom: number): number {
	for (let position = bytes.indexOf(lineFeed, searchFrom); position !== -1; position = bytes.indexOf(lineFeed, position + 1)) {
		const next = position + 1;
		if (bytes[next] === lineFeed) {
			return next + 1;
		}

		if (bytes[next] === carriageReturn && bytes[next + 1] === lineFeed) {
			return next + 2;
		}
	}

	return -1;
}
