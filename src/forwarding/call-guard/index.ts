/** Applies the guard of prompts to one call: decides before each attempt whether the call may be sent, and reports its outcomes. */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {createRouterError, type RouterError} from '../../results/create-router-error/index.js';
import type {EngineWork, ResponseHead} from '../call-types/index.js';
import {classificationDelayMs, classifyUnframedEnd, type UnframedEndClass} from '../classify-unframed-end/index.js';
import type {PromptGuard} from '../prompt-guard/index.js';
import {hashRequest, type RequestKey} from '../../quarantine/request-key/index.js';
import type {Attempt, SessionOptions} from '../session-types/index.js';
import type {ExchangeStage} from '../target-client/index.js';

const msPerSecond = 1000;
const firstErrorStatus = 300;

/** Failure of an exchange that the target's side caused. */
export type ExchangeFailure = {readonly stage: ExchangeStage; readonly error: Error};

type UnframedAnswer = {readonly target: FleetTarget; readonly sentAt: MonotonicMs; readonly endedAt: MonotonicMs};

/** Guard of one call. */
export class CallGuard {
	private hasBrokenAnswer = false;

	private requestKey: RequestKey | undefined;
	private readonly work: EngineWork | undefined;

	constructor(private readonly guard: PromptGuard, private readonly session: Pick<SessionOptions, 'call' | 'body' | 'organisation'>) {
		this.work = session.call.work;
	}

	/** Returns the key of the whole request. It is calculated only when it is needed. */
	readRequestKey(): RequestKey {
		const {call: {method, host, path}, body, organisation} = this.session;
		this.requestKey ??= hashRequest({
			method, host, path, organisation: organisation?.id, body,
		});
		return this.requestKey;
	}

	/** Returns the error with which the call ends if it may not be sent to a target; `mayHaveRun`: whether a target may have run it before. */
	findError(mayHaveRun: boolean, now: MonotonicMs): RouterError | undefined {
		const {guard, work} = this;
		if (work === undefined) {
			return undefined;
		}

		const rejection = guard.findRejection(work, now);
		if (rejection !== undefined && !mayHaveRun) {
			return createRouterError('promptQuarantined', undefined, {retryAfterSeconds: Math.ceil(rejection.remainingMs / msPerSecond)});
		}

		return rejection !== undefined || this.isSuspicious(now) ? createRouterError('outcomeUnknown', 'a part of the prompt may crash targets') : undefined;
	}

	/** Whether the call crashed a target and may crash the next one. */
	isSuspicious(now: MonotonicMs): boolean {
		return this.hasBrokenAnswer && this.work !== undefined && this.guard.isSuspicious(this.work, now);
	}

	/** Records that the exchange failed on the target's side. Only a successful answer whose connection broke is evidence of a crash. */
	recordFailure({target, head, record}: Attempt, {stage, error}: ExchangeFailure, now: MonotonicMs): void {
		const isBroken = stage === 'responding' && !isParseError(error) && head !== undefined && isSuccess(head);
		if (this.work !== undefined && isBroken) {
			this.hasBrokenAnswer = true;
			this.guard.recordBrokenAnswer(this.work, target, record.sentAt, now);
		}
	}

	/** Records the end of an answer. Whether an unframed one was complete is found out later. */
	recordEnd({target, head, record}: Attempt, now: MonotonicMs): void {
		const {work} = this;
		if (work === undefined || head === undefined || !isSuccess(head)) {
			return;
		}

		if (!head.isUnframed) {
			this.guard.recordCompleteAnswer(work, now);
			return;
		}

		setTimeout(() => {
			this.recordUnframedEnd(classifyUnframedEnd(target, now), work, {target, sentAt: record.sentAt, endedAt: now});
		}, classificationDelayMs).unref();
	}

	private recordUnframedEnd(unframedEnd: UnframedEndClass, work: EngineWork, {target, sentAt, endedAt}: UnframedAnswer): void {
		if (unframedEnd === 'complete') {
			this.guard.recordCompleteAnswer(work, endedAt);
		} else if (unframedEnd === 'broken') {
			this.guard.recordBrokenAnswer(work, target, sentAt, endedAt);
		}
	}
}

/** Whether the target sent bytes that are not HTTP. */
function isParseError(error: NodeJS.ErrnoException): boolean {
	return error.code?.startsWith('HPE_') ?? false;
}

function isSuccess({status}: ResponseHead): boolean {
	return status < firstErrorStatus;
}
