/** Splits a stream of server-sent events at event boundaries, so that another target can continue it. */

import {EventBuffer} from '../../streams/event-buffer/index.js';

/** Events completed by one chunk. */
export type CompleteEvents = {
	/** Complete events that the caller has not received yet. */
	readonly bytes: Buffer;
	/** Whether any of the completed events has data. Comments and blank lines are no progress. */
	readonly hasProgress: boolean;
	/** Whether `bytes` has an event with data. */
	readonly hasContent: boolean;
	/** Whether the last event with data in `bytes` has an id, so that another target can go on after it; true without such an event. */
	readonly endsWithId: boolean;
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

	/** `lastEventId` identifies the last event that the caller received, then the last one returned. If ids are numeric, events up to it are dropped. */
	constructor(public lastEventId: string | undefined) {}

	/** Whether bytes have come since the last complete event. */
	get hasIncompleteEvent(): boolean {
		return !this.buffer.isEmpty;
	}

	/**
	 * Adds a chunk and returns the events that it completes. Throws a `RangeError` if an incomplete event exceeds
	 * `maximumEventBytes`. In a stream that continues the one of another target, each piece must be an event with an id, or a
	 * comment; throws a `ContinuationError` for anything else, and no event of the chunk counts then.
	 */
	add(chunk: Buffer, isContinuation: boolean): CompleteEvents {
		const accepted: Buffer[] = [];
		let hasProgress = false;
		let hasContent = false;
		let endsWithId = true;
		const texts = this.buffer.add(chunk).map(event => ({event, text: event.toString('latin1')}));
		if (isContinuation && !texts.every(({text}) => this.continuesStream(text))) {
			throw new ContinuationError();
		}

		for (const {event, text} of texts) {
			const hasData = contentPattern.test(text);
			hasProgress ||= hasData;
			if (this.acceptEvent(text)) {
				accepted.push(event);
				hasContent ||= hasData;
				endsWithId = hasData ? idPattern.test(text) : endsWithId;
			}
		}

		return {
			bytes: accepted.length === 1 ? accepted[0]! : Buffer.concat(accepted), hasProgress, hasContent, endsWithId,
		};
	}

	/** Returns the bytes after the last complete event; call it once the response is complete. */
	flush(): Buffer {
		return this.buffer.flush();
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
