/**
 * Tells whether a stream of server-sent events ends after a whole event. A stream without length and chunks ends with
 * its connection, so that only this shows whether it was broken off.
 */

/** Bytes that decide: the end of a line and the blank line after it. */
const tailBytes = 3;
const blankLinePattern = /(?:^|\n)\r?\n$/u;

/** Follows the bytes of one stream. */
export class EventBoundary {
	private tail = '';

	/** Whether the bytes so far end with a blank line, which ends an event. Also true before the first byte. */
	get isReached(): boolean {
		return this.tail === '' || blankLinePattern.test(this.tail);
	}

	add(chunk: Uint8Array): void {
		const end = Buffer.from(chunk.subarray(-tailBytes)).toString('latin1');
		this.tail = (this.tail + end).slice(-tailBytes);
	}
}
