/** A stream of events that another target can continue: passed on event by event. */

import {ByteCollector} from '../../streams/byte-collector/index.js';
import {EventBoundary} from '../../streams/event-boundary/index.js';
import type {AttemptAnswer} from '../attempt-answer/index.js';
import type {ResponseHead} from '../call-types/index.js';
import {EventSplitter} from '../event-splitter/index.js';

/** Receives a resumable stream. */
export class EventAnswer implements AttemptAnswer {
	hasEnded = false;
	receivedBytes = 0;
	hasContent = false;
	/** Whether the last event has an id, so that another target can go on after it. */
	isResumable = true;
	private readonly held = new ByteCollector();
	private readonly splitter: EventSplitter;
	private readonly boundary = new EventBoundary();
	private isContinuation = false;

	/** `lastEventId`: of the last event that the caller has. */
	constructor(readonly head: ResponseHead, lastEventId: string | undefined) {
		this.splitter = new EventSplitter(lastEventId);
	}

	get isFallback(): boolean {
		return false;
	}

	get heldBytes(): number {
		return this.held.sizeBytes;
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
		this.boundary.add(chunk);
		this.receivedBytes += chunk.length;
		this.isContinuation = isContinuation;
		const {bytes, hasProgress, hasContent, endsWithId} = this.splitter.add(chunk, isContinuation);
		this.held.add(bytes);
		if (hasContent) {
			this.hasContent = true;
			this.isResumable = endsWithId;
		}

		return hasProgress;
	}

	end(): void {
		this.hasEnded = true;
	}

	take(): Buffer {
		if (this.hasEnded) {
			this.held.add(this.splitter.flush());
		}

		this.hasContent = false;
		return this.held.take();
	}
}
