/** Splits a stream of server-sent events at event boundaries, so that another target can continue it. */

/** Events completed by one chunk. */
export type CompleteEvents = {
	/** Complete events that the caller has not received yet. */
	readonly bytes: Buffer;
	/** Id of the last event returned so far; undefined before the first. */
	readonly lastEventId: string | undefined;
};

const eventTerminator = Buffer.from('\n\n');
const idPattern = /^id: ?(.*)$/mu;
const emptyBuffer = Buffer.alloc(0);

/** Buffers the bytes of an incomplete event. */
export class EventSplitter {
	private pendingBytes: Buffer = emptyBuffer;

	/** `lastEventId` identifies the last event that the caller received. If ids are numeric, events up to it are dropped. */
	constructor(private lastEventId: string | undefined) {}

	/** Adds a chunk and returns the events that it completes. */
	add(chunk: Buffer): CompleteEvents {
		this.pendingBytes = this.pendingBytes.length === 0 ? chunk : Buffer.concat([this.pendingBytes, chunk]);
		const accepted: Buffer[] = [];
		let end = this.pendingBytes.indexOf(eventTerminator);
		while (end !== -1) {
			const event = this.pendingBytes.subarray(0, end + eventTerminator.length);
			this.pendingBytes = this.pendingBytes.subarray(end + eventTerminator.length);
			if (this.acceptEvent(event)) {
				accepted.push(event);
			}

			end = this.pendingBytes.indexOf(eventTerminator);
		}

		return {bytes: accepted.length === 1 ? accepted[0]! : Buffer.concat(accepted), lastEventId: this.lastEventId};
	}

	/** Returns the bytes after the last complete event; call it once the response is complete. */
	flush(): Buffer {
		const {pendingBytes} = this;
		this.pendingBytes = emptyBuffer;
		return pendingBytes;
	}

	/** Discards an interrupted event; the next target sends it again in full. */
	discardPending(): void {
		this.pendingBytes = emptyBuffer;
	}

	private acceptEvent(event: Buffer): boolean {
		const id = idPattern.exec(event.toString('latin1'))?.[1];
		if (id === undefined) {
			return true;
		}

		if (this.lastEventId !== undefined && Number(id) <= Number(this.lastEventId)) {
			return false;
		}

		this.lastEventId = id;
		return true;
	}
}
