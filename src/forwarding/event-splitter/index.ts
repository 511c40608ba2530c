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

/** What a target sends does not continue the stream of the target before. */
export class ContinuationError extends Error {
	constructor() {
		super('the target sends something other than the next events of the stream');
	}
}

const ignoredLinesPattern = /^(?::[^\n]*|\r?)$/u;

/** Passes on complete events that the caller has not received yet. */
export class EventSplitter {
	private readonly buffer = new EventBuffer(maximumEventBytes);
	private isContinuation = false;

	/** `lastEventId` identifies the last event that the caller received. If ids are numeric, events up to it are dropped. */
	constructor(private lastEventId: string | undefined) {}

	/** Whether bytes have come since the last complete event. */
	get hasIncompleteEvent(): boolean {
		return !this.buffer.isEmpty;
	}

	/** Begins with the stream of another target. From here on, each piece must be an event with an id, or a comment. */
	beginContinuation(): void {
		this.isContinuation = true;
	}

	/**
	 * Adds a chunk and returns the events that it completes. Throws a `RangeError` if an incomplete event exceeds
	 * `maximumEventBytes`, and a `ContinuationError` if the chunk does not continue the stream; no event of it counts then.
	 */
	add(chunk: Buffer): CompleteEvents {
		const accepted: Buffer[] = [];
		let hasProgress = false;
		const texts = this.buffer.add(chunk).map(event => ({event, text: event.toString('latin1')}));
		if (this.isContinuation && !texts.every(({text}) => this.continuesStream(text))) {
			throw new ContinuationError();
		}

		for (const {event, text} of texts) {
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

	/** Where ids are numbers, the next ones are as well. Other ids have no order that could be checked. */
	private continuesStream(event: string): boolean {
		const id = idPattern.exec(event)?.[1]?.trim();
		if (id === undefined) {
			return event.split('\n').every(line => ignoredLinesPattern.test(line));
		}

		return id !== '' && (isNumeric(id) || !isNumeric(this.lastEventId ?? ''));
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

function isNumeric(id: string): boolean {
	return /^\d+$/u.test(id);
}
