/** An answer that no other target can continue. One to a call that may run again is held until it is whole. */

import {ByteCollector} from '../../streams/byte-collector/index.js';
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
	/** Whether another attempt may have a better answer. */
	readonly isFallback: boolean;
};

/** Receives an answer that is not resumable. */
export class PlainAnswer implements AttemptAnswer {
	readonly head: ResponseHead;
	hasEnded = false;
	receivedBytes = 0;
	private readonly held = new ByteCollector();
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

	get isFallback(): boolean {
		return this.options.isFallback;
	}

	get heldBytes(): number {
		return this.held.sizeBytes;
	}

	get isReady(): boolean {
		return !this.options.isHeld || this.isSufficient;
	}

	get hasContent(): boolean {
		return !this.isFallback && this.isSufficient;
	}

	private get isSufficient(): boolean {
		return this.hasEnded || this.receivedBytes > maximumHeldBytes;
	}

	add(chunk: Buffer): boolean {
		this.boundary.add(chunk);
		this.held.add(chunk);
		this.receivedBytes += chunk.length;
		return true;
	}

	end(): void {
		this.hasEnded = true;
	}

	take(): Buffer {
		return this.held.take();
	}
}
