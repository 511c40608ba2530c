/**
 * The life cycle of one call: admission, target selection, attempts, and the response to the caller.
 *
 * A non-repeatable call is retried only if the target stated that it did not run it, or if no byte was
 * sent. An interrupted resumable stream continues at another target after the last complete event that
 * the caller received.
 */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {createRouterError, type RouterError} from '../../results/create-router-error/index.js';
import type {ResultName} from '../../results/result-codes/index.js';
import {isRepeatable} from '../../routing/is-repeatable/index.js';
import {buildShortRetryAfter} from '../add-retry-after-jitter/index.js';
import {admitCall} from '../admit-call/index.js';
import {assessAttempt} from '../assess-attempt/index.js';
import {buildStepQuery} from '../build-step-query/index.js';
import {ResponseRelay} from '../response-relay/index.js';
import {CallAttempts} from '../call-attempts/index.js';
import {CallCharge} from '../call-charge/index.js';
import {CallGuard} from '../call-guard/index.js';
import {CallTimes} from '../call-times/index.js';
import type {ResponseHead} from '../call-types/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import {passChunk} from '../pass-chunk/index.js';
import {planNextStep, type AttemptFailure, type NextStep} from '../plan-next-step/index.js';
import {planMove} from '../plan-move/index.js';
import {planWait} from '../plan-wait/index.js';
import {PrefixHints} from '../prefix-hints/index.js';
import {recordHead} from '../record-head/index.js';
import {reportCall} from '../report-call/index.js';
import {reportFailedAttempt} from '../report-failed-attempt/index.js';
import {selectTarget, type TargetSelection} from '../select-target/index.js';
import type {Attempt, SessionOptions} from '../session-types/index.js';
import {StreamOrigin} from '../stream-origin/index.js';
import {startAttempt, type AttemptListener} from '../start-attempt/index.js';
import type {ExchangeStage} from '../target-client/index.js';
import {TargetWaiter} from '../target-waiter/index.js';

/** A call in progress. */
export class CallSession implements AttemptListener {
	readonly relay: ResponseRelay;
	readonly origin: StreamOrigin;
	private readonly hints: PrefixHints;
	private readonly charge: CallCharge;
	private readonly guard: CallGuard;
	private readonly waiter: TargetWaiter;
	private readonly times: CallTimes;
	private readonly attempts = new CallAttempts();
	private readonly selection: TargetSelection;
	/** When the call arrived or, once its stream has begun, when the stream last broke off. */
	private waitingSince: MonotonicMs;
	private isDone = false;
	private onDone: (() => void) | undefined;

	constructor(private readonly options: SessionOptions, private readonly context: ForwardingContext) {
		const {call, route, arrivedAt} = options;
		this.waitingSince = arrivedAt;
		this.hints = new PrefixHints(call.work, options.organisation, context.prefixes);
		this.origin = new StreamOrigin(options, context.streamOrigins);
		this.selection = {
			session: options, triedTargets: this.attempts.triedTargets, hints: this.hints, origin: this.origin,
		};
		this.waiter = new TargetWaiter(context.fleet);
		this.times = new CallTimes(arrivedAt);
		this.charge = new CallCharge(context.quota, options.organisation, call.work);
		this.guard = new CallGuard(context, options);
		this.relay = new ResponseRelay(options.sink, route, call.lastEventId);
	}

	/** Runs the call; resolves when it has ended, with or without a complete response. */
	async run(): Promise<void> {
		const done = new Promise<void>(resolve => {
			this.onDone = resolve;
		});
		this.options.deadline.start(() => {
			this.endEarly('noTarget', 'targetTimeout');
		});
		await this.guard.requestTrial();
		if (this.isDone || this.isRejectedByGuard()) {
			return done;
		}

		const error = await admitCall({origin: this.origin, charge: this.charge, draw: this.context.draw});
		if (error === undefined) {
			this.context.findRetryBudget(this.options.service).recordRequest();
			this.tryNextTarget();
		} else {
			this.refuse(error);
		}

		await done;
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

	/** Withdraws an attempt that must not begin any more, and moves a repeatable call whose attempt has stalled if that is possible. */
	checkAttempt(now: MonotonicMs): void {
		const {current: attempt} = this.attempts;
		if (attempt === undefined || this.isDone) {
			return;
		}

		const assessment = assessAttempt({attempt, selection: this.selection, isRepeatable: isRepeatable(this.options.route)}, this.context, now);
		if (assessment === 'withdraw') {
			attempt.exchange?.abort();
			// It may have begun just now, so it counts as one that may have run.
			this.attempts.end(attempt, true);
			this.retryOrFail('unknown', 'the call had not begun within the time limit of the old weights', attempt);
		} else if (assessment === 'move') {
			this.moveStalled(attempt, now);
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
		if (head.status >= 500 && this.retryErrorResponse(attempt)) {
			return;
		}

		this.relay.begin(head);
	}

	/** Handles bytes of an answer. */
	onChunk(attempt: Attempt, chunk: Buffer): void {
		const now = this.context.clock.readMonotonic();
		attempt.lastReceivedAt = now;
		this.times.recordChunk(now);
		attempt.target.recordReceivedBytes(now);
		try {
			passChunk(attempt, this, chunk, now);
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
		if (this.attempts.current !== attempt || this.isDone) {
			return;
		}

		const now = this.context.clock.readMonotonic();
		if (stage === 'notSent') {
			this.attempts.end(attempt, false);
			attempt.target.recordUnreachable(now);
			this.retryOrFail('notSent', error.message, attempt);
			return;
		}

		this.recordBreak(attempt, now);
		this.retryOrFail(this.relay.hasBegun ? 'broken' : 'unknown', error.message, attempt);
	}

	/** Moves the call to another target, if one can take over from the stalled one. */
	private moveStalled(attempt: Attempt, now: MonotonicMs): void {
		const {selection, guard, context, relay, attempts: {runs}} = this;
		const failure = relay.hasBegun ? 'broken' : 'unknown';
		const step = planMove({selection, guard, planStep: () => this.planNextStep(failure, runs + 1)}, context, now);
		if (step.type === 'retry') {
			attempt.exchange?.abort();
			this.recordBreak(attempt, now);
			this.retryOrFail(failure, 'no data received from the target', attempt, step);
		}
	}

	/** Records that an attempt which may have run the call has ended before its answer was complete. */
	private recordBreak(attempt: Attempt, now: MonotonicMs): void {
		this.attempts.end(attempt, true);
		attempt.target.recordFailure(now);
		this.relay.discardIncomplete();
		this.waitingSince = this.relay.hasBegun ? now : this.waitingSince;
	}

	private tryNextTarget(): void {
		if (this.isDone || this.isRejectedByGuard()) {
			return;
		}

		const now = this.context.clock.readMonotonic();
		const target = selectTarget(this.selection, this.context, now);
		if (target === undefined) {
			this.waitForTarget(now);
		} else {
			this.send(target, now);
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

	private waitForTarget(now: MonotonicMs): void {
		const {options: session, selection, attempts: {mayHaveRun}, waitingSince: since, context} = this;
		const plan = planWait({
			session, selection, deadline: session.deadline.read(), mayHaveRun, since,
		}, context, now);
		if (plan.type === 'reject') {
			this.refuse(plan.error);
			return;
		}

		this.waiter.wait(plan.longestMs, () => {
			this.attempts.triedTargets.clear();
			this.tryNextTarget();
		});
	}

	private send(target: FleetTarget, now: MonotonicMs): void {
		this.attempts.add(target);
		this.times.recordSent(now);
		this.attempts.current = startAttempt({
			session: this.options, target, hints: this.hints, guard: this.guard, remainingMs: this.options.deadline.measureWorkMs(now),
			lastEventId: this.relay.readLastEventId(), isRepeatable: isRepeatable(this.options.route), origin: this.origin, number: this.attempts.count,
		}, this.context, this, now);
	}

	/** Handles a response in which the target states that it did not run the call. */
	private handleRejection(attempt: Attempt, head: ResponseHead, now: MonotonicMs): void {
		if (head.isOtherTarget) {
			attempt.target.recordUnreachable(now);
		}

		attempt.exchange?.abort();
		this.attempts.end(attempt, false);
		this.retryOrFail('notRun', `rejected with status ${head.status}`, attempt);
	}

	/** Retries an idempotent call after a 5xx response; returns whether it does. */
	private retryErrorResponse(attempt: Attempt): boolean {
		if (this.options.route.kind !== 'idempotent' || this.planNextStep('unknown', this.attempts.runs + 1).type !== 'retry') {
			return false;
		}

		attempt.exchange?.abort();
		this.attempts.end(attempt, true);
		this.tryNextTarget();
		return true;
	}

	private planNextStep(failure: AttemptFailure, runs: number): NextStep {
		const {options: session, relay, guard, attempts: {count: attempts}} = this;
		return planNextStep(buildStepQuery({
			failure, session, relay, guard, runs, attempts,
		}, this.context, this.context.clock.readMonotonic()));
	}

	private retryOrFail(failure: AttemptFailure, reason: string, attempt: Attempt, step = this.planNextStep(failure, this.attempts.runs)): void {
		const {guard, attempts: {count: attempts}, context, options: {call: {id}}} = this;
		reportFailedAttempt(context.logger, {
			id, attempt, attempts, failure, reason, step, guard,
		});
		if (step.type === 'retry') {
			this.tryNextTarget();
			return;
		}

		this.fail(createRouterError(step.result, reason, step.result === 'targetRefused' ? buildShortRetryAfter(this.context.draw()) : {}));
	}

	/** Ends the call before its response is complete; the result depends on whether a target may have run it. */
	private endEarly(resultIfNotRun: ResultName, resultIfMayHaveRun: ResultName): void {
		if (!this.isDone) {
			this.attempts.abort();
			this.fail(createRouterError(this.attempts.mayHaveRun ? resultIfMayHaveRun : resultIfNotRun));
		}
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
		this.waiter.stop();
		const attempt = lastAttempt ?? this.attempts.current;
		if (this.attempts.current !== undefined) {
			this.attempts.end(this.attempts.current, true);
		}

		const times = this.times.summarise(this.context.clock.readMonotonic());
		reportCall(this.context, this.options, {
			outcome, status, attempt, attempts: this.attempts.count, passedBytes: this.relay.passedBytes, times,
		});
		this.onDone?.();
	}
}
