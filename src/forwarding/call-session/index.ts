/**
 * The life cycle of one call: admission, target selection, attempts, and the response to the caller.
 *
 * A non-repeatable call is retried only if the target stated that it did not run it, or if no byte was
 * sent. An interrupted resumable stream continues at another target after the last complete event that
 * the caller received.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import {convertUnexpectedError, createRouterError, type RouterError} from '../../results/create-router-error/index.js';
import type {ResultName} from '../../results/result-codes/index.js';
import {isRepeatable} from '../../routing/is-repeatable/index.js';
import {buildShortRetryAfter} from '../add-retry-after-jitter/index.js';
import {admitCall} from '../admit-call/index.js';
import {assessAttempt} from '../assess-attempt/index.js';
import {AttemptStarter} from '../attempt-starter/index.js';
import {ResponseRelay} from '../response-relay/index.js';
import {CallAttempts} from '../call-attempts/index.js';
import {CallCharge} from '../call-charge/index.js';
import {CallGuard} from '../call-guard/index.js';
import {CallMove} from '../call-move/index.js';
import {CallTimes} from '../call-times/index.js';
import type {ResponseHead} from '../call-types/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import {passChunk} from '../pass-chunk/index.js';
import type {AttemptFailure} from '../plan-next-step/index.js';
import {PrefixHints} from '../prefix-hints/index.js';
import {recordHead} from '../record-head/index.js';
import {reportCall} from '../report-call/index.js';
import type {TargetSelection} from '../select-target/index.js';
import type {Attempt, SessionOptions} from '../session-types/index.js';
import {StreamOrigin} from '../stream-origin/index.js';
import type {AttemptListener} from '../start-attempt/index.js';
import {StepPlanner} from '../step-planner/index.js';
import type {ExchangeStage} from '../target-client/index.js';

const firstServerErrorStatus = 500;

/** A call in progress. */
export class CallSession implements AttemptListener {
	readonly relay: ResponseRelay;
	readonly origin: StreamOrigin;
	private readonly hints: PrefixHints;
	private readonly charge: CallCharge;
	private readonly guard: CallGuard;
	private readonly times: CallTimes;
	private readonly attempts = new CallAttempts();
	private readonly selection: TargetSelection;
	private readonly steps: StepPlanner;
	private readonly starter: AttemptStarter;
	private readonly move: CallMove;
	private isDone = false;
	private onDone: (() => void) | undefined;

	constructor(private readonly options: SessionOptions, private readonly context: ForwardingContext) {
		const {call, route, arrivedAt} = options;
		this.hints = new PrefixHints(call.work, options.organisation, context.prefixes);
		this.origin = new StreamOrigin(options, context.streamOrigins);
		this.selection = {
			session: options, triedTargets: this.attempts.triedTargets, hints: this.hints, origin: this.origin,
		};
		this.times = new CallTimes(arrivedAt);
		this.charge = new CallCharge(context.quota, options.organisation, call.work);
		this.guard = new CallGuard(context, options);
		this.relay = new ResponseRelay(options.sink, route, call.lastEventId);
		const parts = {
			session: options, selection: this.selection, attempts: this.attempts, relay: this.relay, guard: this.guard, times: this.times,
		};
		this.steps = new StepPlanner(parts, context);
		this.starter = new AttemptStarter({
			...parts, listener: this,
			tryAgain: () => {
				this.tryNextTarget();
			},
			refuse: error => {
				this.fail(error);
			},
		}, context, arrivedAt);
		this.move = new CallMove({
			...parts, id: call.id, steps: this.steps, starter: this.starter,
		}, context);
	}

	/** Runs the call; resolves when it has ended, with or without a complete response. */
	async run(): Promise<void> {
		const done = new Promise<void>(resolve => {
			this.onDone = resolve;
		});
		this.options.deadline.start(() => {
			this.endEarly('noTarget', 'targetTimeout');
		});
		try {
			await this.admit();
		} catch (error) {
			this.failUnexpectedly(error as Error);
		}

		await done;
	}

	/** Carries out a step of the call. An error that nothing expects ends the call at once, not at its deadline and without an answer. */
	protect(step: () => void): void {
		try {
			step();
		} catch (error) {
			this.failUnexpectedly(error as Error);
		}
	}

	/** Ends the call because its caller has disconnected. */
	abandon(): void {
		if (!this.isDone) {
			this.attempts.abort();
			this.finish('callerGone', 0);
		}
	}

	/** Ends the call with an error because the instance is stopping. */
	terminate(): void {
		this.endEarly('stopping', 'outcomeUnknown');
	}

	/** Withdraws attempts that must not begin any more, and moves a repeatable call whose attempt has stalled if that is possible. */
	checkAttempt(now: MonotonicMs): void {
		for (const attempt of this.attempts.inFlight) {
			this.protect(() => {
				this.handleAssessment(attempt, now);
			});
		}
	}

	/** Handles the head of an answer. */
	onHead(attempt: Attempt, head: ResponseHead): void {
		const now = this.context.clock.readMonotonic();
		recordHead(attempt, head, this.options.call.work?.model, this.context, now);
		if (head.isNotRun) {
			this.handleRejection(attempt, head, now);
			return;
		}

		if (!head.isGenuine || !this.relay.canForward(head)) {
			attempt.exchange?.abort();
			attempt.head = undefined;
			this.onFailure(attempt, 'sent', new Error(`response with status ${head.status} is not from the expected target or does not continue the stream`));
			return;
		}

		attempt.target.recordAnswer(attempt.record, now);
		this.hints.recordUse(attempt.target, now);
		if (head.status >= firstServerErrorStatus && this.retryErrorResponse(attempt, head)) {
			return;
		}

		this.move.prefer(attempt, now);
		this.relay.begin(head);
	}

	/** Handles bytes of an answer. */
	onChunk(attempt: Attempt, chunk: Buffer): void {
		const now = this.context.clock.readMonotonic();
		attempt.lastReceivedAt = now;
		this.times.recordChunk(now);
		attempt.target.recordReceivedBytes(now);
		try {
			if (passChunk(attempt, this, chunk, now)) {
				this.move.prefer(attempt, now);
			}
		} catch (error) {
			attempt.exchange?.abort();
			this.onFailure(attempt, 'responding', error as Error);
		}
	}

	/** Handles the end of an answer. */
	onEnd(attempt: Attempt): void {
		const head = attempt.head!;
		if (!this.relay.isComplete(head)) {
			const error = new Error('the stream ended inside an event');
			if (head.isUnframed) {
				this.guard.recordFailure(attempt, {stage: 'responding', error}, this.context.clock.readMonotonic());
			}

			this.onFailure(attempt, 'responding', error);
			return;
		}

		attempt.target.recordSuccess();
		this.guard.recordEnd(attempt, this.context.clock.readMonotonic());
		this.attempts.end(attempt, true);
		this.relay.end(head);
		this.finish('answered', head.status, attempt);
	}

	/** Handles an exchange that failed, or that is given up. */
	onFailure(attempt: Attempt, stage: ExchangeStage, error: Error): void {
		if (!this.isInFlight(attempt)) {
			return;
		}

		const now = this.context.clock.readMonotonic();
		if (stage === 'notSent') {
			this.attempts.end(attempt, false);
			attempt.target.recordUnreachable(now);
			this.continueOrFail('notSent', error.message, attempt);
			return;
		}

		this.recordBreak(attempt, now);
		this.continueOrFail(this.relay.hasBegun ? 'broken' : 'unknown', error.message, attempt);
	}

	/** Sends the call to its first target if it is admitted. */
	private async admit(): Promise<void> {
		await this.guard.requestTrial();
		if (this.isDone || this.isRejectedByGuard()) {
			return;
		}

		const error = await admitCall({origin: this.origin, charge: this.charge, draw: this.context.draw});
		if (error === undefined) {
			this.context.findRetryBudget(this.options.service).recordRequest();
			this.tryNextTarget();
		} else {
			this.refuse(error);
		}
	}

	private isInFlight(attempt: Attempt): boolean {
		return !this.isDone && this.attempts.inFlight.includes(attempt);
	}

	private handleAssessment(attempt: Attempt, now: MonotonicMs): void {
		if (!this.isInFlight(attempt)) {
			return;
		}

		const assessment = assessAttempt({attempt, selection: this.selection, isRepeatable: isRepeatable(this.options.route)}, this.context, now);
		if (assessment === 'withdraw') {
			attempt.exchange?.abort();
			// It may have begun just now, so it counts as one that may have run.
			this.attempts.end(attempt, true);
			this.continueOrFail('unknown', 'the call had not begun within the time limit of the old weights', attempt);
		} else if (assessment === 'move') {
			this.move.tryMove(attempt, now);
		}
	}

	/** Records that an attempt which may have run the call has ended before its answer was complete. */
	private recordBreak(attempt: Attempt, now: MonotonicMs): void {
		if (this.attempts.current === attempt) {
			this.relay.discardIncomplete();
			this.starter.recordBreak(now);
		}

		this.attempts.end(attempt, true);
		attempt.target.recordFailure(now);
	}

	private tryNextTarget(): void {
		if (!this.isDone && !this.isRejectedByGuard()) {
			this.starter.startNext(this.context.clock.readMonotonic());
		}
	}

	/** Ends the call if its prompt may not be sent to a target; returns whether it does. */
	private isRejectedByGuard(): boolean {
		const error = this.guard.findError(this.attempts.mayHaveRun, this.context.clock.readMonotonic());
		if (error === undefined) {
			return false;
		}

		this.fail(error);
		return true;
	}

	/** Handles a response in which the target states that it did not run the call. */
	private handleRejection(attempt: Attempt, head: ResponseHead, now: MonotonicMs): void {
		if (head.isOtherTarget) {
			attempt.target.recordUnreachable(now);
		}

		attempt.exchange?.abort();
		this.attempts.end(attempt, false);
		this.continueOrFail('notRun', `rejected with status ${head.status}`, attempt);
	}

	/** Retries an idempotent call after a 5xx response, or goes on with the other attempt if one is in flight; returns whether it does. */
	private retryErrorResponse(attempt: Attempt, head: ResponseHead): boolean {
		if (this.attempts.successor !== undefined) {
			attempt.exchange?.abort();
			this.attempts.end(attempt, true);
			this.continueOrFail('unknown', `response with status ${head.status}`, attempt);
			return true;
		}

		if (this.options.route.kind !== 'idempotent' || this.steps.plan('unknown', this.attempts.runs + 1).type !== 'retry') {
			return false;
		}

		attempt.exchange?.abort();
		this.attempts.end(attempt, true);
		this.tryNextTarget();
		return true;
	}

	/** Goes on after a failed attempt: with the other one if one is in flight, else with a retry; ends the call if there is none. */
	private continueOrFail(failure: AttemptFailure, reason: string, attempt: Attempt): void {
		const step = this.steps.planAfter(attempt, failure, reason);
		if (step.type === 'retry') {
			this.tryNextTarget();
		} else if (step.type === 'give up') {
			this.fail(createRouterError(step.result, reason, step.result === 'targetRefused' ? buildShortRetryAfter(this.context.draw()) : {}));
		}
	}

	/** Ends the call before its response is complete; the result depends on whether a target may have run it. */
	private endEarly(resultIfNotRun: ResultName, resultIfMayHaveRun: ResultName): void {
		if (!this.isDone) {
			this.attempts.abort();
			this.fail(createRouterError(this.attempts.mayHaveRun ? resultIfMayHaveRun : resultIfNotRun));
		}
	}

	/** Ends the call because of an error in this program. */
	private failUnexpectedly(cause: Error): void {
		if (this.isDone) {
			return;
		}

		this.attempts.abort();
		this.fail(convertUnexpectedError(cause, this.attempts.mayHaveRun));
	}

	/** Responds with an error, or closes the connection if the response has already begun. */
	private fail(error: RouterError): void {
		if (this.relay.hasBegun) {
			this.relay.destroy();
			this.finish(error.entry.name, 0);
		} else {
			this.refuse(error);
		}
	}

	private refuse(error: RouterError): void {
		if (this.isDone) {
			return;
		}

		if (error.notRun) {
			this.charge.refund();
		}

		this.options.refuse(error);
		this.finish(error.entry.name, error.entry.httpStatus);
	}

	private finish(outcome: string, status: number, lastAttempt?: Attempt): void {
		if (this.isDone) {
			return;
		}

		this.isDone = true;
		this.options.deadline.stop();
		this.starter.stop();
		const attempt = lastAttempt ?? this.attempts.current;
		this.attempts.endAll();
		const times = this.times.summarise(this.context.clock.readMonotonic());
		reportCall(this.context, this.options, {
			outcome, status, attempt, attempts: this.attempts.count, passedBytes: this.relay.passedBytes, times,
		});
		this.onDone?.();
	}
}
