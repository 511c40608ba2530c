/** A stream of events that another target can continue: passed on event by event. */

import {EventBoundary} from '../../streams/event-boundary/index.js';
import type {AttemptAnswer} from '../attempt-answer/index.js';
import type {ResponseHead} from '../call-types/index.js';
import {EventSplitter} from '../event-splitter/index.js';

/**
 * Size of what has come without an event and is held, because another attempt may still go on with the call, above which the
 * target may send no more. What the caller gets at once doesn't count.
 */
const maximumHeldBytes = 256 * 1024;

/** Receives a resumable stream. */
export class EventAnswer implements AttemptAnswer {
	hasEnded = false;
	hasContent = false;
	private held: Buffer[] = [];
	private heldBytes = 0;
	private readonly splitter: EventSplitter;
	private readonly boundary = new EventBoundary();
	private isContinuation = false;

	/** `lastEventId`: of the last event that the caller has. */
	constructor(readonly head: ResponseHead, lastEventId: string | undefined) {
		this.splitter = new EventSplitter(lastEventId);
	}

	get isResumable(): boolean {
		return true;
	}

	get isReady(): boolean {
		return true;
	}

	get lastEventId(): string | undefined {
		return this.splitter.lastEventId;
	}

	/** A stream that ends with its connection must not end inside an event, and neither must one that continues another stream. */
	get isWhole(): boolean {
		if (this.isContinuation && this.splitter.hasIncompleteEvent) {
			return false;
		}

		return !this.head.isUnframed || this.boundary.isReached;
	}

	add(chunk: Buffer, isContinuation: boolean): boolean {
		if (!this.hasContent && this.heldBytes > maximumHeldBytes) {
			throw new RangeError(`the target sends more than ${maximumHeldBytes} bytes without an event`);
		}

		this.boundary.add(chunk);
		this.isContinuation = isContinuation;
		const {bytes, hasProgress, hasContent} = this.splitter.add(chunk, isContinuation);
		this.hold(bytes);
		this.hasContent ||= hasContent;
		return hasProgress;
	}

	end(): void {
		this.hasEnded = true;
	}

	take(): Buffer {
		if (this.hasEnded) {
			this.hold(this.splitter.flush());
		}

		const bytes = Buffer.concat(this.held);
		this.held = [];
		this.heldBytes = 0;
		this.hasContent = false;
		return bytes;
	}

	private hold(bytes: Buffer): void {
		if (bytes.length > 0) {
			this.held.push(bytes);
			this.heldBytes += bytes.length;
		}
	}
}
