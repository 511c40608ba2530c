/** Applies the guards of prompts and of whole requests to one call: decides before each attempt whether the call may be sent, and reports its outcomes. */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {createRouterError, type RouterError} from '../../results/create-router-error/index.js';
import type {EngineWork, ResponseHead} from '../call-types/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import {openRequestGuard, type RequestGuard, type RequestKeyReader} from '../request-guard/index.js';
import {classificationDelayMs, classifyUnframedEnd, type UnframedEndClass} from '../classify-unframed-end/index.js';
import type {ExchangeStage} from '../http-exchange/index.js';
import {openPromptGuard, type PromptGuard} from '../prompt-guard/index.js';
import {hashRequest, type RequestKey} from '../../quarantine/request-key/index.js';
import type {Attempt, SessionOptions} from '../session-types/index.js';

const msPerSecond = 1000;
const firstErrorStatus = 300;

/** Failure of an exchange that the target's side caused. */
export type ExchangeFailure = {readonly stage: ExchangeStage; readonly error: Error};

type UnframedAnswer = {readonly target: FleetTarget; readonly sentAt: MonotonicMs; readonly endedAt: MonotonicMs};

/** Guard of one call. */
export class CallGuard {
	private readonly prompts: PromptGuard;
	private readonly requests: RequestGuard;
	private hasBrokenAnswer = false;
	private hasBrokenConnection = false;
	/** Whether the call may be sent once although its request is on probation. */
	private hasRequestTrial = false;
	/** Whether the call may be sent once although a part of its prompt is on probation. */
	private hasPromptTrial = false;
	/** Trials that the last attempt has used up. */
	private usedTrials = {request: false, prompt: false};

	private requestKey: RequestKey | undefined;
	private readonly work: EngineWork | undefined;
	private readonly keyReader: RequestKeyReader;

	constructor({promptGuard, requestGuard}: Pick<ForwardingContext, 'promptGuard' | 'requestGuard'>, private readonly session: Pick<SessionOptions, 'call' | 'body' | 'organisation'>) {
		this.prompts = promptGuard ?? openPromptGuard;
		this.requests = requestGuard ?? openRequestGuard;
		this.work = session.call.work;
		this.keyReader = () => this.readRequestKey();
	}

	/** Returns the key of the whole request. It is calculated only when it is needed. */
	readRequestKey(): RequestKey {
		const {call: {method, host, path}, body, organisation} = this.session;
		this.requestKey ??= hashRequest({
			method, host, path, organisation: organisation?.id, body,
		});
		return this.requestKey;
	}

	/** Asks for the trials that the call needs because its request, or a part of its prompt, is on probation. Resolves at once if it needs none. */
	async requestTrial(): Promise<void> {
		this.hasRequestTrial = await this.requests.beginTrial(this.keyReader);
		this.hasPromptTrial = this.work !== undefined && await this.prompts.beginTrial(this.work);
	}

	/** Records that the call is sent to a target, which uses up its trials. */
	recordSent(): void {
		this.usedTrials = {request: this.hasRequestTrial, prompt: this.hasPromptTrial};
		this.hasPromptTrial = false;
		if (this.hasRequestTrial) {
			this.hasRequestTrial = false;
			this.requests.recordTrialSent(this.keyReader);
		}
	}

	/** Records that the call did not reach the target to which it was sent last, so that its trials can still be made. */
	recordNotSent(): void {
		this.hasRequestTrial = this.usedTrials.request;
		this.hasPromptTrial = this.usedTrials.prompt;
	}

	/** Returns the error with which the call ends if it may not be sent to a target; `mayHaveRun`: whether a target may have run it before. */
	findError(mayHaveRun: boolean, now: MonotonicMs): RouterError | undefined {
		return this.findPromptError(mayHaveRun, now) ?? this.findRequestError(mayHaveRun, now);
	}

	/** Whether the call crashed a target and may crash the next one. */
	isSuspicious(now: MonotonicMs): boolean {
		return this.isPromptSuspicious(now) || (this.hasBrokenConnection && this.requests.isSuspicious(this.keyReader, now));
	}

	/**
	 * Records that the exchange failed on the target's side. A connection that broke is evidence against the request if the
	 * target has ended. If it broke before the head of an answer, the same holds for the prompt; a successful answer that broke
	 * is evidence against the prompt at once.
	 */
	recordFailure({target, head, record}: Attempt, {stage, error}: ExchangeFailure, now: MonotonicMs): void {
		if (stage === 'notSent' || isParseError(error)) {
			return;
		}

		this.hasBrokenConnection = true;
		this.requests.recordBrokenConnection(this.keyReader, target, record.sentAt, now);
		if (this.work !== undefined && stage === 'responding' && head !== undefined && isSuccess(head)) {
			this.hasBrokenAnswer = true;
			this.prompts.recordBrokenAnswer(this.work, target, record.sentAt, now);
		} else if (this.work !== undefined && head === undefined) {
			this.prompts.recordBrokenConnection(this.work, target, record.sentAt, now);
		}
	}

	/** Records the end of an answer. Whether an unframed one was complete is found out later. */
	recordEnd({target, head, record}: Attempt, now: MonotonicMs): void {
		if (head === undefined) {
			return;
		}

		if (!head.isUnframed) {
			this.recordComplete(head, now);
			return;
		}

		setTimeout(() => {
			this.recordUnframedEnd(classifyUnframedEnd(target, now), head, {target, sentAt: record.sentAt, endedAt: now});
		}, classificationDelayMs).unref();
	}

	private findPromptError(mayHaveRun: boolean, now: MonotonicMs): RouterError | undefined {
		const rejection = this.work && this.prompts.findRejection(this.work, this.hasPromptTrial, now);
		if (rejection !== undefined && !mayHaveRun) {
			return createRouterError('promptQuarantined', undefined, {retryAfterSeconds: Math.ceil(rejection.remainingMs / msPerSecond)});
		}

		return rejection !== undefined || this.isPromptSuspicious(now) ? createRouterError('outcomeUnknown', 'a part of the prompt may crash targets') : undefined;
	}

	private findRequestError(mayHaveRun: boolean, now: MonotonicMs): RouterError | undefined {
		const rejection = this.hasRequestTrial ? undefined : this.requests.findRejection(this.keyReader, now);
		if (rejection === undefined) {
			return undefined;
		}

		return mayHaveRun
			? createRouterError('outcomeUnknown', 'the request may crash targets')
			: createRouterError('requestQuarantined', undefined, {retryAfterSeconds: Math.ceil(rejection.remainingMs / msPerSecond)});
	}

	private isPromptSuspicious(now: MonotonicMs): boolean {
		return this.hasBrokenAnswer && this.work !== undefined && this.prompts.isSuspicious(this.work, now);
	}

	/** Records a complete answer. Any answer shows that its target did not crash, but only a successful one that the prompt was begun. */
	private recordComplete(head: ResponseHead, endedAt: MonotonicMs): void {
		this.requests.recordCompleteAnswer(this.keyReader, endedAt);
		if (this.work !== undefined && isSuccess(head)) {
			this.prompts.recordCompleteAnswer(this.work, endedAt);
		}
	}

	private recordUnframedEnd(unframedEnd: UnframedEndClass, head: ResponseHead, {target, sentAt, endedAt}: UnframedAnswer): void {
		if (unframedEnd === 'complete') {
			this.recordComplete(head, endedAt);
		} else if (unframedEnd === 'broken') {
			this.requests.recordBrokenConnection(this.keyReader, target, sentAt, endedAt);
			if (this.work !== undefined && isSuccess(head)) {
				this.prompts.recordBrokenAnswer(this.work, target, sentAt, endedAt);
			}
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
