/**
 * The life cycle of one call: admission, attempts, and the end of the response to the caller.
 *
 * A non-repeatable call is retried only if the target stated that it did not run it, or if no byte was
 * sent. An interrupted resumable stream continues at another target after the last complete event that
 * the caller received.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import {convertUnexpectedError, createRouterError, type RouterError} from '../../results/create-router-error/index.js';
import type {ResultName} from '../../results/result-codes/index.js';
import {admitCall} from '../admit-call/index.js';
import {AttemptHandler} from '../attempt-handler/index.js';
import {CallAttempts} from '../call-attempts/index.js';
import {CallCharge} from '../call-charge/index.js';
import {CallGuard} from '../call-guard/index.js';
import {CallRequests} from '../call-requests/index.js';
import {CallTimes} from '../call-times/index.js';
import {CallVersions} from '../call-versions/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import {isRepeatable} from '../../routing/is-repeatable/index.js';
import {PrefixHints} from '../prefix-hints/index.js';
import {reportCall} from '../report-call/index.js';
import {ResponseRelay} from '../response-relay/index.js';
import type {Attempt, SessionOptions} from '../session-types/index.js';
import {StreamOrigin} from '../stream-origin/index.js';

/** A call in progress. */
export class CallSession {
	private readonly relay: ResponseRelay;
	private readonly origin: StreamOrigin;
	private readonly charge: CallCharge;
	private readonly guard: CallGuard;
	private readonly times: CallTimes;
	private readonly attempts: CallAttempts;
	private readonly requests: CallRequests;
	private readonly handler: AttemptHandler;
	private isDone = false;
	private onDone: (() => void) | undefined;

	constructor(private readonly options: SessionOptions, private readonly context: ForwardingContext) {
		const {call, route, service, organisation, arrivedAt, sink, prior} = options;
		this.requests = new CallRequests(prior, context.findRetryBudget(service));
		this.origin = new StreamOrigin(options, context.streamOrigins);
		const versions = new CallVersions(options, this.origin, context);
		const queueWaker = {
			recordEnded() {
				context.admission?.wake(service);
			},
		};
		// A call that may run once is passed on only if nothing has run.
		const attempts = new CallAttempts([versions, queueWaker], isRepeatable(route) ? prior.count : 0);
		this.attempts = attempts;
		this.times = new CallTimes(arrivedAt);
		this.charge = new CallCharge(context.quota, organisation, call.work);
		this.guard = new CallGuard(context, options);
		this.relay = new ResponseRelay(sink, route, call.lastEventId);
		this.handler = new AttemptHandler({
			session: options, attempts, requests: this.requests, relay: this.relay, guard: this.guard, times: this.times,
			selection: {
				session: options, triedTargets: attempts.triedTargets,
				hints: new PrefixHints(call.work, () => context.findCacheNamespace(organisation?.id), context.prefixes),
				origin: this.origin, versions,
			},
			isDone: () => this.isDone,
			protect: step => {
				this.protect(step);
			},
			complete: attempt => {
				this.complete(attempt);
			},
			fail: error => {
				this.fail(error);
			},
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

	/** Looks for attempts that must not begin any more, and for targets that have gone silent. */
	checkAttempts(now: MonotonicMs): void {
		this.handler.checkAttempts(now);
	}

	/** Sends the call to its first target if it is admitted. */
	private async admit(): Promise<void> {
		await this.guard.requestTrial();
		if (this.isDone || this.handler.isRejectedByGuard()) {
			return;
		}

		const error = await admitCall({origin: this.origin, charge: this.charge, draw: this.context.draw});
		if (error === undefined) {
			this.handler.tryNextTarget();
		} else {
			this.refuse(error);
		}
	}

	/** Carries out a step of the call. An error that nothing expects ends the call at once, not at its deadline and without an answer. */
	private protect(step: () => void): void {
		try {
			step();
		} catch (error) {
			this.failUnexpectedly(error as Error);
		}
	}

	/**
	 * Ends the call before its response is complete, unless a whole answer waits for the other attempt. The result depends on
	 * whether a target may have run the call.
	 */
	private endEarly(resultIfNotRun: ResultName, resultIfMayHaveRun: ResultName): void {
		this.protect(() => {
			if (!this.isDone && !this.handler.completeWaiting()) {
				this.attempts.abort();
				this.fail(createRouterError(this.attempts.mayHaveRun ? resultIfMayHaveRun : resultIfNotRun));
			}
		});
	}

	/** Ends the call because of an error in this program. */
	private failUnexpectedly(cause: Error): void {
		if (this.isDone) {
			return;
		}

		this.attempts.abort();
		this.fail(convertUnexpectedError(cause, this.attempts.mayHaveRun));
	}

	/** Ends the call whose caller has the whole answer of `attempt`. */
	private complete(attempt: Attempt): void {
		this.attempts.end(attempt, true);
		this.relay.end();
		this.finish('answered', attempt.answer!.head.status, attempt);
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

		const answered = this.convertError(error);
		if (answered.notRun) {
			this.charge.refund();
		}

		this.options.refuse(answered, this.requests.count);
		this.finish(answered.entry.name, answered.entry.httpStatus);
	}

	/** Converts an error that says that the call has not run, if another attempt or instance may have run it. */
	private convertError(error: RouterError): RouterError {
		return error.notRun && this.attempts.mayHaveRun ? createRouterError('outcomeUnknown', error.message) : error;
	}

	private finish(outcome: string, status: number, lastAttempt?: Attempt): void {
		if (this.isDone) {
			return;
		}

		this.isDone = true;
		this.options.deadline.stop();
		this.handler.stop();
		this.origin.end();
		const attempt = lastAttempt ?? this.attempts.oldest;
		this.attempts.endAll();
		this.requests.end(this.context.clock.readMonotonic());
		const times = this.times.summarise(this.context.clock.readMonotonic());
		reportCall(this.context, this.options, {
			outcome, status, attempt, attempts: this.attempts.count, passedBytes: this.relay.passedBytes, times,
		});
		this.onDone?.();
	}
}
