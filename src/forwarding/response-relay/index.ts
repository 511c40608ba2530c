/**
 * The way of an answer to the caller. Answers of idempotent calls are kept back until they are complete, so
 * that a broken one can be repeated; resumable streams are passed on in whole events, so that another
 * target can continue them; all others are passed on as they come.
 */

import type {AnswerHead, CallerSink} from '../call-types/index.js';
import {EventSplitter} from '../event-splitter/index.js';
import type {Route} from '../../routing/routing-types/index.js';

/** Answers of idempotent calls up to this size are kept back, in bytes. */
const maximumKeptBytes = 256 * 1024;
const okStatus = 200;

/** Passes one answer on, from one or several targets. */
export class ResponseRelay {
	/** Whether the caller has got the head of an answer. */
	hasBegun = false;
	passedBytes = 0;
	private kept: Buffer[] = [];
	private keptBytes = 0;
	private splitter: EventSplitter | undefined;

	constructor(private readonly sink: CallerSink, private readonly route: Route, private lastEventId: string | undefined) {}

	/** Whether an answer that has begun can go on with another target. */
	get isResumable(): boolean {
		return this.splitter !== undefined;
	}

	/** Last event that the caller has; undefined before the first. */
	readLastEventId(): string | undefined {
		return this.lastEventId;
	}

	/** Whether an answer with this head can be passed on: nothing but a success continues a stream that has begun. */
	canForward(head: AnswerHead): boolean {
		return !this.hasBegun || head.status === okStatus;
	}

	/** Takes the head of a target's answer. Only the first one reaches the caller. */
	begin(head: AnswerHead): void {
		const {kind, isResumable} = this.route;
		if (kind === 'streaming' && isResumable && head.status === okStatus) {
			this.splitter ??= new EventSplitter(this.lastEventId);
		}

		if (!this.hasBegun && kind !== 'idempotent') {
			this.passHead(head);
		}
	}

	/** Takes bytes; false asks to wait until the caller has read more. */
	addChunk(head: AnswerHead, chunk: Buffer): boolean {
		if (!this.hasBegun) {
			this.keep(head, chunk);
			return true;
		}

		if (this.splitter === undefined) {
			return this.pass(chunk);
		}

		const {bytes, lastEventId} = this.splitter.add(chunk);
		this.lastEventId = lastEventId;
		return this.pass(bytes);
	}

	/** Ends a complete answer. */
	end(head: AnswerHead): void {
		if (!this.hasBegun) {
			this.passKept(head);
		}

		this.pass(this.splitter?.flush() ?? Buffer.alloc(0));
		this.sink.end();
	}

	/** Forgets what cannot be used of an answer that broke off. */
	discardIncomplete(): void {
		this.kept = [];
		this.keptBytes = 0;
		this.splitter?.discardPending();
	}

	/** Breaks the connection, so that the answer cannot look complete. */
	destroy(): void {
		this.sink.destroy();
	}

	onDrain(listener: () => void): void {
		this.sink.onDrain(listener);
	}

	private keep(head: AnswerHead, chunk: Buffer): void {
		this.kept.push(chunk);
		this.keptBytes += chunk.length;
		if (this.keptBytes > maximumKeptBytes) {
			this.passKept(head);
		}
	}

	private passKept(head: AnswerHead): void {
		this.passHead(head);
		for (const chunk of this.kept) {
			this.pass(chunk);
		}

		this.kept = [];
	}

	private passHead(head: AnswerHead): void {
		this.hasBegun = true;
		this.sink.begin(head.status, head.headers, head.isUnframed);
	}

	private pass(bytes: Buffer): boolean {
		this.passedBytes += bytes.length;
		return bytes.length === 0 || this.sink.write(bytes);
	}
}
