/** Splits a stream of server-sent events at event boundaries, so that another target can continue it. */

import {EventBuffer} from '../../streams/event-buffer/index.js';

/** Events completed by one chunk. */
export type CompleteEvents = {
	/** Complete events that the caller has not received yet. */
	readonly bytes: Buffer;
	/** Id of the last event returned so far; undefined before the first. */
	readonly lastEventId: string | undefined;
	/** Whether any of the completed events has data. Comments and blank lines are no progress. */
	readonly hasProgress: boolean;
};

const idPattern = /^id: ?(.*)$/mu;
const contentPattern = /^(?:data|id|event):/mu;
/** Maximum size of one event, in bytes. */
export const maximumEventBytes = 1_048_576;

/** Passes on complete events that the caller has not received yet. */
export class EventSplitter {
	private readonly buffer = new EventBuffer(maximumEventBytes);

	/** `lastEventId` identifies the last event that the caller received. If ids are numeric, events up to it are dropped. */
	constructor(private lastEventId: string | undefined) {}

	/** Adds a chunk and returns the events that it completes. Throws a `RangeError` if an incomplete event exceeds `maximumEventBytes`. */
	add(chunk: Buffer): CompleteEvents {
		const accepted: Buffer[] = [];
		let hasProgress = false;
		for (const event of this.buffer.add(chunk)) {
			const text = event.toString('latin1');
			hasProgress ||= contentPattern.test(text);
			if (this.acceptEvent(text)) {
				accepted.push(event);
			}
		}

		return {bytes: accepted.length === 1 ? accepted[0]! : Buffer.concat(accepted), lastEventId: this.lastEventId, hasProgress};
	}

	/** Returns the bytes after the last complete event; call it once the response is complete. */
	flush(): Buffer {
		return this.buffer.flush();
	}

	/** Discards an interrupted event; the next target sends it again in full. */
	discardPending(): void {
		this.buffer.flush();
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
