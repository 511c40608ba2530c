/**
 * Passes a response on to the caller. Responses to idempotent calls are held until they are whole, so that the call can be
 * retried. Resumable streams are passed on in complete events, so that another target can continue them. All other responses
 * are passed on as they arrive.
 */

import type {Route} from '../../routing/routing-types/index.js';
import {isEventStream, type AttemptAnswer} from '../attempt-answer/index.js';
import type {CallerSink, ResponseHead} from '../call-types/index.js';
import {EventAnswer} from '../event-answer/index.js';
import {PlainAnswer} from '../plain-answer/index.js';

const okStatus = 200;

/** Passes one response on, which may come from several targets in turn. */
export class ResponseRelay {
	passedBytes = 0;
	/** The answer whose head the caller has. */
	private firstAnswer: AttemptAnswer | undefined;
	/** The answer that was passed on last; another one than the first if a target has continued the stream. */
	private latestAnswer: AttemptAnswer | undefined;

	constructor(private readonly sink: CallerSink, private readonly route: Route, private lastEventId: string | undefined) {}

	/** Whether the head of a response has been sent to the caller. */
	get hasBegun(): boolean {
		return this.firstAnswer !== undefined;
	}

	/** Whether another target can continue a response that has begun. */
	get isResumable(): boolean {
		return this.latestAnswer?.isResumable === true;
	}

	/** Id of the last event that the caller received; undefined before the first. */
	readLastEventId(): string | undefined {
		return this.lastEventId;
	}

	/** Whether a response with this head can be passed on. Only a status of 200 continues a stream that has begun, and none below it ends a call. */
	canPass({status}: ResponseHead): boolean {
		return this.hasBegun ? status === okStatus : status >= okStatus;
	}

	/** Opens the answer that begins with this head. Nothing of it is passed on yet. `isFallback`: whether another attempt may have a better one. */
	open(head: ResponseHead, isFallback: boolean): AttemptAnswer {
		const {kind, isResumable} = this.route;
		const hasEvents = isEventStream(head, kind === 'streaming');
		return hasEvents && isResumable
			? new EventAnswer(head, this.lastEventId)
			: new PlainAnswer({
				head, isHeld: kind === 'idempotent', isEventStream: hasEvents, isFallback,
			});
	}

	/** Whether this answer is the one that was passed on last. */
	isLatest(answer: AttemptAnswer): boolean {
		return this.latestAnswer === answer;
	}

	/** Adds bytes to an answer; returns whether it came closer to its end. Throws what `AttemptAnswer.add` throws. */
	addChunk(answer: AttemptAnswer, chunk: Buffer): boolean {
		return answer.add(chunk, this.hasBegun && this.firstAnswer !== answer);
	}

	/** Passes on what `answer` holds. Returns false if its target is to be paused until `onDrain`. */
	pass(answer: AttemptAnswer): boolean {
		if (this.firstAnswer === undefined) {
			this.sink.begin(answer.head.status, answer.head.headers);
			this.firstAnswer = answer;
		}

		this.latestAnswer = answer;
		const bytes = answer.take();
		this.lastEventId = answer.lastEventId ?? this.lastEventId;
		this.passedBytes += bytes.length;
		return bytes.length === 0 || this.sink.write(bytes);
	}

	/** Ends the response; its last bytes have been passed on. */
	end(): void {
		this.sink.end();
	}

	/** Closes the connection, so that the response cannot look complete. */
	destroy(): void {
		this.sink.destroy();
	}

	onDrain(listener: () => void): void {
		this.sink.onDrain(listener);
	}
}
