/**
 * Relays a response to the caller. Responses to idempotent calls are buffered until they are complete, so
 * that the call can be retried. Resumable streams are forwarded in complete events, so that another target
 * can continue them. All other responses are forwarded as they arrive.
 */

import type {ResponseHead, CallerSink} from '../call-types/index.js';
import {EventSplitter} from '../event-splitter/index.js';
import type {Route} from '../../routing/routing-types/index.js';
import {EventBoundary} from '../../streams/event-boundary/index.js';

/** Outcome of a chunk: whether the target may send more at once, and whether the response came closer to its end. */
export type ChunkOutcome = {readonly canContinue: boolean; readonly hasProgress: boolean};

/** Larger responses to idempotent calls are forwarded before they are complete. */
const maximumBufferedBytes = 256 * 1024;
const okStatus = 200;

/** Forwards one response, which may come from several targets in turn. */
export class ResponseRelay {
	/** Whether the head of a response has been sent to the caller. */
	hasBegun = false;
	passedBytes = 0;
	private bufferedChunks: Buffer[] = [];
	private bufferedBytes = 0;
	private splitter: EventSplitter | undefined;
	/** Whether the response is continued by another target than the one whose head the caller has. */
	private isContinued = false;
	/** Follows the stream of the current target. */
	private boundary = new EventBoundary();

	constructor(private readonly sink: CallerSink, private readonly route: Route, private lastEventId: string | undefined) {}

	/** Whether another target can continue a response that has begun. */
	get isResumable(): boolean {
		return this.splitter !== undefined;
	}

	/** Id of the last event that the caller received; undefined before the first. */
	readLastEventId(): string | undefined {
		return this.lastEventId;
	}

	/** Whether a response with this head can be forwarded. Only a status of 200 continues a stream that has begun, and none below it ends a call. */
	canForward({status}: ResponseHead): boolean {
		return this.hasBegun ? status === okStatus : status >= okStatus;
	}

	/** Handles the head of a target's response. Only the first one is sent to the caller. */
	begin(head: ResponseHead): void {
		this.boundary = new EventBoundary();
		if (this.hasBegun) {
			this.splitter?.beginContinuation();
			this.isContinued = true;
		}

		if (this.isEventStream(head) && this.route.isResumable) {
			this.splitter ??= new EventSplitter(this.lastEventId);
		}

		if (!this.hasBegun && this.route.kind !== 'idempotent') {
			this.sendHead(head);
		}
	}

	/**
	 * Handles a chunk of the body. If the target may not continue, it is to be paused until `onDrain`. Throws a
	 * `RangeError` if an event of a resumable stream is too large.
	 */
	addChunk(head: ResponseHead, chunk: Buffer): ChunkOutcome {
		this.boundary.add(chunk);
		if (!this.hasBegun) {
			this.buffer(head, chunk);
			return {canContinue: true, hasProgress: true};
		}

		if (this.splitter === undefined) {
			return {canContinue: this.write(chunk), hasProgress: true};
		}

		const {bytes, lastEventId, hasProgress} = this.splitter.add(chunk);
		this.lastEventId = lastEventId;
		return {canContinue: this.write(bytes), hasProgress};
	}

	/**
	 * Whether the response of a target that has sent its last byte is complete. A stream that ends with its connection must not
	 * end inside an event, and neither must one that continues another stream.
	 */
	isComplete(head: ResponseHead): boolean {
		if (this.isContinued && this.splitter?.hasIncompleteEvent === true) {
			return false;
		}

		return !head.isUnframed || !this.isEventStream(head) || this.boundary.isReached;
	}

	/** Ends a complete response. */
	end(head: ResponseHead): void {
		if (!this.hasBegun) {
			this.flushBuffer(head);
		}

		this.write(this.splitter?.flush() ?? Buffer.alloc(0));
		this.sink.end();
	}

	/** Discards what was buffered of an interrupted response. */
	discardIncomplete(): void {
		this.bufferedChunks = [];
		this.bufferedBytes = 0;
		this.splitter?.discardPending();
	}

	/** Closes the connection, so that the response cannot look complete. */
	destroy(): void {
		this.sink.destroy();
	}

	onDrain(listener: () => void): void {
		this.sink.onDrain(listener);
	}

	private isEventStream(head: ResponseHead): boolean {
		return this.route.kind === 'streaming' && head.status === okStatus;
	}

	private buffer(head: ResponseHead, chunk: Buffer): void {
		this.bufferedChunks.push(chunk);
		this.bufferedBytes += chunk.length;
		if (this.bufferedBytes > maximumBufferedBytes) {
			this.flushBuffer(head);
		}
	}

	private flushBuffer(head: ResponseHead): void {
		this.sendHead(head);
		for (const chunk of this.bufferedChunks) {
			this.write(chunk);
		}

		this.bufferedChunks = [];
	}

	private sendHead(head: ResponseHead): void {
		this.sink.begin(head.status, head.headers);
		this.hasBegun = true;
	}

	private write(bytes: Buffer): boolean {
		this.passedBytes += bytes.length;
		return bytes.length === 0 || this.sink.write(bytes);
	}
}
