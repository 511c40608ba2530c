/**
 * Handles what comes back for the attempts of one call: heads, bytes, ends and failures of answers, and the silence of targets.
 * Decides whether the call goes on with another attempt, and reports its outcome.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import {createRouterError, type RouterError} from '../../results/create-router-error/index.js';
import {isRepeatable} from '../../routing/is-repeatable/index.js';
import {buildShortRetryAfter} from '../add-retry-after-jitter/index.js';
import {AnswerForwarder} from '../answer-forwarder/index.js';
import {assessAttempt} from '../assess-attempt/index.js';
import {AttemptStarter} from '../attempt-starter/index.js';
import {CallMove} from '../call-move/index.js';
import type {CallParts} from '../call-parts/index.js';
import type {ResponseHead} from '../call-types/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import type {ExchangeStage} from '../http-exchange/index.js';
import {isTemporaryFailure} from '../is-temporary-failure/index.js';
import type {AttemptFailure} from '../plan-next-step/index.js';
import {recordHead} from '../record-head/index.js';
import type {Attempt} from '../session-types/index.js';
import type {AttemptListener} from '../start-attempt/index.js';
import {StepPlanner} from '../step-planner/index.js';

const firstServerErrorStatus = 500;

/** The call whose attempts are handled. */
export type HandledCall = CallParts & {
	/** Whether the call has ended. */
	readonly isDone: () => boolean;
	/** Carries out a step of the call, and ends the call if it throws. */
	readonly protect: (step: () => void) => void;
	/** Ends the call: the caller has the whole answer of this attempt. */
	readonly complete: (attempt: Attempt) => void;
	/** Ends the call with an error, or breaks its answer off. */
	readonly fail: (error: RouterError) => void;
};

/** Handles the attempts of one call. */
export class AttemptHandler implements AttemptListener {
	private readonly steps: StepPlanner;
	private readonly starter: AttemptStarter;
	private readonly move: CallMove;
	private readonly forwarder: AnswerForwarder;

	constructor(private readonly call: HandledCall, private readonly context: ForwardingContext) {
		const {session, attempts, relay, selection: {origin}, fail} = call;
		this.steps = new StepPlanner(call, context);
		this.starter = new AttemptStarter({
			...call, listener: this, refuse: fail,
			tryAgain: () => {
				this.tryNextTarget();
			},
		}, context, session.arrivedAt);
		this.move = new CallMove({
			...call, id: session.call.id, steps: this.steps, starter: this.starter,
		}, context);
		this.forwarder = new AnswerForwarder({
			attempts, relay, origin, move: this.move,
		});
	}

	/** Sends the call to the next target, unless its prompt may not be sent to one. */
	tryNextTarget(): void {
		if (!this.call.isDone() && !this.isRejectedByGuard()) {
			this.starter.startNext(this.context.clock.readMonotonic());
		}
	}

	/** Ends the call if its prompt may not be sent to a target; returns whether it does. */
	isRejectedByGuard(): boolean {
		const {guard, attempts, fail} = this.call;
		const error = guard.findError(attempts.mayHaveRun, this.context.clock.readMonotonic());
		if (error === undefined) {
			return false;
		}

		fail(error);
		return true;
	}

	/** Stops waiting for a target. */
	stop(): void {
		this.starter.stop();
	}

	protect(step: () => void): void {
		this.call.protect(step);
	}

	/** Withdraws attempts that must not begin any more, and moves a repeatable call whose attempt has stalled if that is possible. */
	checkAttempts(now: MonotonicMs): void {
		for (const attempt of this.call.attempts.inFlight) {
			this.protect(() => {
				this.handleAssessment(attempt, now);
			});
		}
	}

	/** Passes on a whole answer that waits for the other attempt, because there is no more time to wait; returns whether there is one. */
	completeWaiting(): boolean {
		const {attempts} = this.call;
		const waiting = attempts.inFlight.find(({answer}) => answer?.hasEnded === true);
		if (waiting === undefined) {
			return false;
		}

		this.move.prefer(waiting, this.context.clock.readMonotonic());
		this.forward(waiting, this.context.clock.readMonotonic());
		return true;
	}

	/** Handles the head of an answer. */
	onHead(attempt: Attempt, head: ResponseHead): void {
		const {session, selection: {hints}, attempts, relay} = this.call;
		const now = this.context.clock.readMonotonic();
		recordHead(attempt, head, session.call.work?.model, this.context, now);
		if (head.isNotRun) {
			this.handleRejection(attempt, head, now);
			return;
		}

		if (!head.isGenuine || !relay.canPass(head)) {
			attempt.exchange?.abort();
			attempt.head = undefined;
			this.onFailure(attempt, 'sent', new Error(`response with status ${head.status} is not from the expected target or does not continue the stream`));
			return;
		}

		attempt.target.recordAnswer(attempt.record, now);
		attempt.target.restartSuspicion.recordBytes(attempt.record.sentAt, now);
		this.starter.recordAnswer(attempt, now);
		hints.recordUse(attempt.target, now);
		const isAlone = attempts.isAlone(attempt);
		if (!isAlone || !this.retryErrorResponse(attempt, head)) {
			attempt.answer = relay.open(head, !isAlone && isTemporaryFailure(head.status));
			this.forward(attempt, now);
		}
	}

	/** Handles bytes of an answer. */
	onChunk(attempt: Attempt, chunk: Buffer): void {
		const now = this.context.clock.readMonotonic();
		attempt.lastReceivedAt = now;
		this.call.times.recordChunk(now);
		attempt.target.recordReceivedBytes(now);
		attempt.target.restartSuspicion.recordBytes(attempt.record.sentAt, now);
		try {
			if (this.call.relay.addChunk(attempt.answer!, chunk)) {
				attempt.lastProgressAt = now;
			}

			this.forward(attempt, now);
		} catch (error) {
			attempt.exchange?.abort();
			this.onFailure(attempt, 'responding', error as Error);
		}
	}

	/** Handles the end of an answer. */
	onEnd(attempt: Attempt): void {
		const {guard} = this.call;
		const now = this.context.clock.readMonotonic();
		const answer = attempt.answer!;
		answer.end();
		if (!answer.isWhole) {
			const error = new Error('the stream ended inside an event');
			if (answer.head.isUnframed) {
				guard.recordFailure(attempt, {stage: 'responding', error}, now);
			}

			this.onFailure(attempt, 'responding', error);
			return;
		}

		attempt.target.recordSuccess();
		guard.recordEnd(attempt, now);
		this.forwardHeld();
	}

	/** Handles an exchange that failed, or that is given up. */
	onFailure(attempt: Attempt, stage: ExchangeStage, error: Error): void {
		if (!this.isInFlight(attempt)) {
			return;
		}

		const now = this.context.clock.readMonotonic();
		if (stage === 'notSent') {
			this.call.attempts.end(attempt, false);
			this.call.requests.recordNotSent(now);
			attempt.target.recordUnreachable(now);
			attempt.target.restartSuspicion.recordBreak(now);
			this.continueOrFail('notSent', error.message, attempt);
			return;
		}

		this.recordBreak(attempt, now);
		this.continueOrFail(this.call.relay.hasBegun ? 'broken' : 'unknown', error.message, attempt);
	}

	private isInFlight(attempt: Attempt): boolean {
		return !this.call.isDone() && this.call.attempts.inFlight.includes(attempt);
	}

	/** Passes on what the attempt's answer holds if its turn has come, and ends the call with the end of the answer. */
	private forward(attempt: Attempt, now: MonotonicMs): void {
		if (this.forwarder.forward(attempt, now)) {
			this.call.complete(attempt);
		}
	}

	/** Goes on with the attempts in flight. The last one may have an error that is worth a retry. */
	private continueAt(oldest: Attempt): void {
		const {answer} = oldest;
		const isLastError = answer?.isFallback === true && this.call.attempts.isAlone(oldest);
		if (!isLastError || !this.retryErrorResponse(oldest, answer.head)) {
			this.forwardHeld();
		}
	}

	/** Passes on what was held back for an attempt that has ended. */
	private forwardHeld(): void {
		const now = this.context.clock.readMonotonic();
		for (const attempt of this.call.attempts.inFlight) {
			if (this.isInFlight(attempt)) {
				this.forward(attempt, now);
			}
		}
	}

	private handleAssessment(attempt: Attempt, now: MonotonicMs): void {
		if (!this.isInFlight(attempt)) {
			return;
		}

		if (attempt.answer?.hasEnded === true) {
			this.forward(attempt, now);
			return;
		}

		const {selection, session: {route}, attempts} = this.call;
		const assessment = assessAttempt({attempt, selection, isRepeatable: isRepeatable(route)}, this.context, now);
		if (assessment === 'withdraw') {
			attempt.exchange?.abort();
			// It may have begun just now, so it counts as one that may have run.
			attempts.end(attempt, true);
			this.continueOrFail('unknown', 'the call had not begun within the time limit of the old weights', attempt);
		} else if (assessment === 'move') {
			this.move.tryMove(attempt, now);
		}
	}

	/** Records that an attempt which may have run the call has ended before its answer was complete. */
	private recordBreak(attempt: Attempt, now: MonotonicMs): void {
		const {attempts} = this.call;
		if (attempts.oldest === attempt) {
			this.starter.recordBreak(now);
		}

		attempts.end(attempt, true);
		attempt.target.recordFailure(now);
		attempt.target.restartSuspicion.recordBreak(now);
	}

	/** Handles a response in which the target states that it did not run the call. */
	private handleRejection(attempt: Attempt, head: ResponseHead, now: MonotonicMs): void {
		if (head.isOtherTarget) {
			attempt.target.recordUnreachable(now);
		}

		attempt.exchange?.abort();
		this.call.attempts.end(attempt, false);
		this.continueOrFail('notRun', `rejected with status ${head.status}`, attempt);
	}

	/** Retries an idempotent call after an error of the server; returns whether it does. */
	private retryErrorResponse(attempt: Attempt, {status}: ResponseHead): boolean {
		const {attempts, session: {route}} = this.call;
		if (status < firstServerErrorStatus || route.kind !== 'idempotent' || this.steps.plan('unknown', attempts.runs + 1).type !== 'retry') {
			return false;
		}

		attempt.exchange?.abort();
		attempts.end(attempt, true);
		this.tryNextTarget();
		return true;
	}

	/** Goes on after a failed attempt: with the others in flight, else with a retry; ends the call if there is none. */
	private continueOrFail(failure: AttemptFailure, reason: string, attempt: Attempt): void {
		const {attempts: {oldest}, fail} = this.call;
		const step = this.steps.planAfter(attempt, failure, reason);
		if (step.type === 'other attempt') {
			this.continueAt(oldest!);
		} else if (step.type === 'retry') {
			this.tryNextTarget();
		} else {
			fail(createRouterError(step.result, reason, step.result === 'targetRefused' ? buildShortRetryAfter(this.context.draw()) : {}));
		}
	}
}
