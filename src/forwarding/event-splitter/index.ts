/** Cuts a stream of server-sent events at event boundaries, so that another target can continue it. */

/** Result of one chunk. */
export type CompleteEvents = {
	/** Bytes of whole events that the caller does not have yet. */
	readonly bytes: Buffer;
	/** Id of the last event passed on; undefined before the first. */
	readonly lastEventId: string | undefined;
};

const eventEnd = Buffer.from('\n\n');
const idPattern = /^id: ?(.*)$/mu;
const empty = Buffer.alloc(0);

/** Collects the bytes of an event that is not complete yet. */
export class EventSplitter {
	private rest: Buffer = empty;

	/** `lastEventId` is the last event that the caller has. Events up to it are dropped when ids are numbers. */
	constructor(private lastEventId: string | undefined) {}

	/** Takes a chunk and returns the events that it completes. */
	add(chunk: Buffer): CompleteEvents {
		this.rest = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
		const passed: Buffer[] = [];
		let end = this.rest.indexOf(eventEnd);
		while (end !== -1) {
			const event = this.rest.subarray(0, end + eventEnd.length);
			this.rest = this.rest.subarray(end + eventEnd.length);
			if (this.accept(event)) {
				passed.push(event);
			}

			end = this.rest.indexOf(eventEnd);
		}

		return {bytes: passed.length === 1 ? passed[0]! : Buffer.concat(passed), lastEventId: this.lastEventId};
	}

	/** Returns the bytes after the last whole event; to be asked when the answer has ended completely. */
	flush(): Buffer {
		const {rest} = this;
		this.rest = empty;
		return rest;
	}

	/** Discards an event that broke off; the next target sends it whole. */
	discardPending(): void {
		this.rest = empty;
	}

	private accept(event: Buffer): boolean {
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
