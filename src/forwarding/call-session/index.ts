/**
 * One call of a caller on its way: admission, choice of a target, attempts, and the answer back.
 *
 * A call that may not be repeated is sent again only after a target stated that it did not run it, or
 * when no byte was sent. A resumable stream that broke off goes on at another target after the last
 * whole event that the caller has.
 */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {createRouterError, type RouterError} from '../../results/create-router-error/index.js';
import type {ResultName} from '../../results/result-codes/index.js';
import {isRepeatable} from '../../routing/is-repeatable/index.js';
import {addRetryAfterJitter} from '../add-retry-after-jitter/index.js';
import {ResponseRelay} from '../response-relay/index.js';
import {buildAttemptOptions} from '../build-attempt-options/index.js';
import {CallCharge} from '../call-charge/index.js';
import {CallTimes} from '../call-times/index.js';
import type {AnswerHead} from '../call-types/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import {isAttemptStalled} from '../is-attempt-stalled/index.js';
import {planNextStep, type AttemptFailure} from '../plan-next-step/index.js';
import {PrefixHints} from '../prefix-hints/index.js';
import {reportCall} from '../report-call/index.js';
import {hasAlternativeTarget, selectTarget, type TargetSelection} from '../select-target/index.js';
import type {Attempt, SessionOptions} from '../session-types/index.js';
import type {ExchangeStage} from '../target-exchange/index.js';
import {TargetWaiter} from '../target-waiter/index.js';

/** Time that a call waits for a target to become usable, as a part of its latency goal. */
const waitShare = 0.6;
/** Interval in which a waiting call looks for room, in milliseconds; shorter than that of the load reports. */
const recheckMs = 60;
/** Seconds until a caller may return when no target could take its call, before they are spread. */
const retryAfterSeconds = 0.3;

/** A call in progress. */
export class CallSession {
	readonly deadline: MonotonicMs;
	private readonly hints: PrefixHints;
	private readonly relay: ResponseRelay;
	private readonly charge: CallCharge;
	private readonly waiter: TargetWaiter;
	private readonly times: CallTimes;
	private readonly isRepeatable: boolean;
	private readonly tried = new Set<FleetTarget>();
	private readonly selection: TargetSelection;
	private attempt: Attempt | undefined;
	private attempts = 0;
	private runs = 0;
	private isDone = false;
	private deadlineTimer: NodeJS.Timeout | undefined;
	private onDone: (() => void) | undefined;

	constructor(private readonly options: SessionOptions, private readonly context: ForwardingContext) {
		const {call, route, arrivedAt} = options;
		this.deadline = arrivedAt + Math.min(call.waitMs ?? route.timeoutMs, route.timeoutMs) as MonotonicMs;
		this.isRepeatable = isRepeatable(route);
		this.hints = new PrefixHints(call.work, options.organisation, context.prefixes);
		this.selection = {session: options, triedTargets: this.tried, hints: this.hints};
		this.waiter = new TargetWaiter(context.fleet);
		this.times = new CallTimes(arrivedAt);
		this.charge = new CallCharge(context.quota, options.organisation, call.work);
		this.relay = new ResponseRelay(options.sink, route, call.lastEventId);
	}

	/** Whether any target may have run a part of the call. */
	private get mayHaveRun(): boolean {
		return this.runs > 0 || this.attempt !== undefined;
	}

	/** Runs the call; resolves when its answer has ended, in whatever way. */
	async run(): Promise<void> {
		const done = new Promise<void>(resolve => {
			this.onDone = resolve;
		});
		this.deadlineTimer = setTimeout(() => {
			this.endEarly('noTarget', 'targetTimeout');
		}, Math.max(0, this.deadline - this.readNow()));
		if (await this.charge.charge()) {
			this.context.findRetryBudget(this.options.service).noteRequest();
			this.tryNext();
		} else {
			this.refuse(createRouterError('budgetExceeded', undefined, {retryAfterSeconds: addRetryAfterJitter(1, this.context.draw())}));
		}

		await done;
	}

	/** Ends the call because its caller has gone. */
	abandon(): void {
		if (!this.isDone) {
			this.attempt?.exchange?.abort();
			this.finish('callerGone', 0);
		}
	}

	/** Ends the call with an error when the instance stops. */
	cut(): void {
		this.endEarly('stopping', 'outcomeUnknown');
	}

	/** Moves a repeatable call away from a target that has gone silent. */
	checkSilence(now: MonotonicMs): void {
		const {attempt} = this;
		if (attempt === undefined || !this.isRepeatable || this.isDone) {
			return;
		}

		if (isAttemptStalled(attempt, now) && hasAlternativeTarget(this.selection, attempt.target, this.context, now)) {
			attempt.exchange?.abort();
			this.handleFailure(attempt, attempt.head === undefined ? 'sent' : 'answering', new Error('target silent'));
		}
	}

	private readNow(): MonotonicMs {
		return this.context.clock.readMonotonic();
	}

	private tryNext(): void {
		if (this.isDone) {
			return;
		}

		const now = this.readNow();
		const target = selectTarget(this.selection, this.context, now);
		if (target === undefined) {
			this.waitForTarget(now);
		} else {
			this.send(target, now);
		}
	}

	/** Waits until the fleet changes, up to a part of the latency goal. */
	private waitForTarget(now: MonotonicMs): void {
		const {route, arrivedAt} = this.options;
		const waitUntil = Math.min(arrivedAt + (route.latencyGoalMs * waitShare), this.deadline);
		if (now >= waitUntil) {
			this.refuse(this.mayHaveRun
				? createRouterError('outcomeUnknown', 'no other target is usable')
				: createRouterError('noTarget', undefined, this.buildReturn()));
			return;
		}

		this.waiter.wait(Math.min(recheckMs, waitUntil - now), () => {
			this.tried.clear();
			this.tryNext();
		});
	}

	private send(target: FleetTarget, now: MonotonicMs): void {
		const {call, route, organisation, body} = this.options;
		const {protocol, listCacheStores} = this.context;
		const options = buildAttemptOptions({
			call, route, organisation, target, hints: this.hints, remainingMs: this.deadline - now,
			lastEventId: this.relay.readLastEventId(), cacheStores: listCacheStores(),
		});
		const attempt: Attempt = {
			target, weightsVersion: options.weightsVersion, exchange: undefined, head: undefined, lastReceivedAt: now,
			record: target.beginCall(this.hints.estimatePrefill(target, now), now, this.hints.memoryTokens),
		};
		this.attempt = attempt;
		this.attempts += 1;
		this.times.recordSent(now);
		this.tried.add(target);
		attempt.exchange = this.context.exchange.start(target, {
			method: call.method, path: call.path, headers: protocol.buildHeaders(call, options), body, shouldUseNewConnection: !this.isRepeatable,
		}, {
			onHead: (status, rawHeaders) => {
				this.handleHead(attempt, protocol.readHead(call, target.description.id, status, rawHeaders));
			},
			onChunk: chunk => {
				this.handleChunk(attempt, chunk);
			},
			onEnd: () => {
				this.handleEnd(attempt);
			},
			onFailure: (stage, error) => {
				this.handleFailure(attempt, stage, error);
			},
		});
	}

	private handleHead(attempt: Attempt, head: AnswerHead): void {
		const now = this.readNow();
		attempt.head = head;
		attempt.lastReceivedAt = now;
		attempt.target.noteVersion(this.options.call.work?.model, head.weightsVersion);
		if (head.isNotRun) {
			this.handleRejection(attempt, head, now);
			return;
		}

		if (!head.isGenuine || !this.relay.canForward(head)) {
			attempt.exchange?.abort();
			attempt.head = undefined;
			this.handleFailure(attempt, 'sent', new Error(`answer with status ${head.status} is not the target's own, or does not continue the stream`));
			return;
		}

		attempt.target.noteAnswer(attempt.record, now);
		this.hints.noteUse(attempt.target, now);
		if (head.status >= 500 && this.retryFailedAnswer(attempt)) {
			return;
		}

		this.relay.begin(head);
	}

	/** Handles a statement of the target that it did not run the call. */
	private handleRejection(attempt: Attempt, head: AnswerHead, now: MonotonicMs): void {
		if (head.isOtherTarget) {
			attempt.target.noteUnreachable(now);
		}

		attempt.exchange?.abort();
		this.endAttempt(attempt);
		this.goOn('notRun', `rejected with status ${head.status}`, attempt);
	}

	/** Repeats an idempotent call that the target answered with a failure of its own. */
	private retryFailedAnswer(attempt: Attempt): boolean {
		const {kind} = this.options.route;
		if (kind !== 'idempotent' || planNextStep({...this.buildStepQuery('unknown'), runs: this.runs + 1}).type !== 'retry') {
			return false;
		}

		attempt.exchange?.abort();
		this.endAttempt(attempt);
		this.runs += 1;
		this.tryNext();
		return true;
	}

	private handleChunk(attempt: Attempt, chunk: Buffer): void {
		const now = this.readNow();
		attempt.lastReceivedAt = now;
		this.times.recordChunk(now);
		attempt.target.noteHeard(now);
		if (!this.relay.addChunk(attempt.head!, chunk)) {
			attempt.exchange?.pause();
			this.relay.onDrain(() => {
				attempt.exchange?.resume();
			});
		}
	}

	private handleEnd(attempt: Attempt): void {
		const head = attempt.head!;
		attempt.target.noteSuccess();
		this.endAttempt(attempt);
		this.relay.end(head);
		this.finish('answered', head.status, attempt);
	}

	private handleFailure(attempt: Attempt, stage: ExchangeStage, error: Error): void {
		if (this.attempt !== attempt || this.isDone) {
			return;
		}

		this.endAttempt(attempt);
		if (stage === 'notSent') {
			attempt.target.noteUnreachable(this.readNow());
			this.goOn('notSent', error.message, attempt);
			return;
		}

		attempt.target.noteFailure(this.readNow());
		this.runs += 1;
		this.relay.discardIncomplete();
		this.goOn(this.relay.hasBegun ? 'broken' : 'unknown', error.message, attempt);
	}

	private buildStepQuery(failure: AttemptFailure) {
		const {route, service} = this.options;
		return {
			failure,
			isRepeatable: this.isRepeatable && (!this.relay.hasBegun || this.relay.isResumable),
			runs: this.runs,
			maximumRuns: route.maximumAttempts,
			attempts: this.attempts,
			remainingMs: this.deadline - this.readNow(),
			takeRetry: () => this.context.findRetryBudget(service).take(),
		};
	}

	private goOn(failure: AttemptFailure, reason: string, attempt: Attempt): void {
		const step = planNextStep(this.buildStepQuery(failure));
		this.context.logger.info('attempt failed', {
			id: this.options.call.id, target: attempt.target.description.id, attempt: this.attempts, failure, reason, step: step.type,
		});
		if (step.type === 'retry') {
			this.tryNext();
			return;
		}

		this.fail(createRouterError(step.result, reason, step.result === 'targetRefused' ? this.buildReturn() : {}));
	}

	/** Ends the call before its answer is complete; the result depends on whether a target may have run it. */
	private endEarly(notRun: ResultName, mayHaveRun: ResultName): void {
		if (!this.isDone) {
			const result = this.mayHaveRun ? mayHaveRun : notRun;
			this.attempt?.exchange?.abort();
			this.fail(createRouterError(result));
		}
	}

	private buildReturn() {
		return {retryAfterSeconds: addRetryAfterJitter(retryAfterSeconds, this.context.draw())};
	}

	/** Answers with an error, or breaks an answer that has begun. */
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

	private endAttempt(attempt: Attempt): void {
		attempt.target.endCall(attempt.record);
		if (this.attempt === attempt) {
			this.attempt = undefined;
		}
	}

	private finish(outcome: string, status: number, last?: Attempt): void {
		if (this.isDone) {
			return;
		}

		this.isDone = true;
		clearTimeout(this.deadlineTimer);
		this.waiter.stop();
		const attempt = last ?? this.attempt;
		if (this.attempt !== undefined) {
			this.endAttempt(this.attempt);
		}

		reportCall(this.context, this.options, {
			outcome, status, attempt, attempts: this.attempts, passedBytes: this.relay.passedBytes, times: this.times.summarize(this.readNow()),
		});
		this.onDone?.();
	}
}
