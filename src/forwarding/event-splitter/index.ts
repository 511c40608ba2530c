/** Splits a stream of server-sent events at event boundaries, so that another target can continue it. */

/** Events completed by one chunk. */
export type CompleteEvents = {
	/** Complete events that the caller has not received yet. */
	readonly bytes: Buffer;
	/** Id of the last event returned so far; undefined before the first. */
	readonly lastEventId: string | undefined;
	/** Whether any of the completed events has data. Comments and blank lines are no progress. */
	readonly hasProgress: boolean;
};

const eventTerminator = Buffer.from('\n\n');
const idPattern = /^id: ?(.*)$/mu;
const contentPattern = /^(?:data|id|event):/mu;
/** Maximum size of one event, in bytes. A target that sends bytes without an end of an event would fill the memory. */
export const maximumEventBytes = 1_048_576;
const emptyBuffer = Buffer.alloc(0);

/** Buffers the bytes of an incomplete event. */
export class EventSplitter {
	private pendingBytes: Buffer = emptyBuffer;

	/** `lastEventId` identifies the last event that the caller received. If ids are numeric, events up to it are dropped. */
	constructor(private lastEventId: string | undefined) {}

	/** Adds a chunk and returns the events that it completes. Throws a `RangeError` if an incomplete event exceeds `maximumEventBytes`. */
	add(chunk: Buffer): CompleteEvents {
		this.pendingBytes = this.pendingBytes.length === 0 ? chunk : Buffer.concat([this.pendingBytes, chunk]);
		const accepted: Buffer[] = [];
		let hasProgress = false;
		let end = this.pendingBytes.indexOf(eventTerminator);
		while (end !== -1) {
			const event = this.pendingBytes.subarray(0, end + eventTerminator.length);
			this.pendingBytes = this.pendingBytes.subarray(end + eventTerminator.length);
			const text = event.toString('latin1');
			hasProgress ||= contentPattern.test(text);
			if (this.acceptEvent(text)) {
				accepted.push(event);
			}

			end = this.pendingBytes.indexOf(eventTerminator);
		}

		if (this.pendingBytes.length > maximumEventBytes) {
			throw new RangeError(`an event exceeds ${maximumEventBytes} bytes`);
		}

		return {bytes: accepted.length === 1 ? accepted[0]! : Buffer.concat(accepted), lastEventId: this.lastEventId, hasProgress};
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

	private acceptEvent(event: string): boolean {
		const id = idPattern.exec(event)?.[1];
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
