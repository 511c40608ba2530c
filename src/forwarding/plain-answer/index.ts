/** An answer that no other target can continue. One to a call that may run again is held until it is whole. */

import {EventBoundary} from '../../streams/event-boundary/index.js';
import type {AttemptAnswer} from '../attempt-answer/index.js';
import type {ResponseHead} from '../call-types/index.js';

/** Larger answers are passed on before they are whole. */
const maximumHeldBytes = 256 * 1024;

/** How an answer is passed on. */
export type PlainAnswerOptions = {
	readonly head: ResponseHead;
	/** Whether the answer is held until it is whole, so that the call can be retried. */
	readonly isHeld: boolean;
	/** Whether the body is a stream of events. */
	readonly isEventStream: boolean;
};

/** Receives an answer that is not resumable. */
export class PlainAnswer implements AttemptAnswer {
	readonly head: ResponseHead;
	hasEnded = false;
	heldBytes = 0;
	receivedBytes = 0;
	private held: Buffer[] = [];
	private readonly boundary = new EventBoundary();

	constructor(private readonly options: PlainAnswerOptions) {
		this.head = options.head;
	}

	get isResumable(): boolean {
		return false;
	}

	get lastEventId(): undefined {
		return undefined;
	}

	/** A stream that ends with its connection must not end inside an event. */
	get isWhole(): boolean {
		return !this.head.isUnframed || !this.options.isEventStream || this.boundary.isReached;
	}

	get isReady(): boolean {
		return !this.options.isHeld || this.hasContent;
	}

	get hasContent(): boolean {
		return this.hasEnded || this.receivedBytes > maximumHeldBytes;
	}

	add(chunk: Buffer): boolean {
		this.boundary.add(chunk);
		this.held.push(chunk);
		this.heldBytes += chunk.length;
		this.receivedBytes += chunk.length;
		return true;
	}

	end(): void {
		this.hasEnded = true;
	}

	take(): Buffer {
		const bytes = this.held.length === 1 ? this.held[0]! : Buffer.concat(this.held);
		this.held = [];
		this.heldBytes = 0;
		return bytes;
	}
}
