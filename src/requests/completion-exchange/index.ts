/**
 * Runs one admitted completion: sends it to engines, resumes broken streams, and retries it from the start where
 * that cannot mix two generations in one response.
 */

import {randomUUID} from 'node:crypto';
import {createRouterError, convertToRouterError, type RouterError} from '../../results/create-router-error/index.js';
import type {ResultName} from '../../results/result-codes/index.js';
import type {OrganisationId, RequestId, TargetId} from '../../identity/ids/index.js';
import type {ResolvedModel} from '../../configuration/configuration/index.js';
import {CallRequests, noPriorRequests} from '../../forwarding/call-requests/index.js';
import type {RetryGate} from '../../retries/retry-gate/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import type {EngineSlot} from '../../fairness/engine-gate/index.js';
import type {EngineResponse, EngineRequest} from '../../targets/engine-client/index.js';
import type {EngineMonitor} from '../../targets/engine-monitor/index.js';
import {calculateBackoff} from '../calculate-backoff/index.js';
import {createCallError} from '../create-call-error/index.js';
import {containsSecret} from '../filter-secrets/index.js';
import {checkSignal} from '../open-call-signal/index.js';
import type {CompletionRequest} from '../parse-completion-request/index.js';
import {ChunkReader} from '../read-chunks/index.js';
import type {RouterContext} from '../router-context/index.js';
import {ResponseWriter, type CompletionSink} from '../response-writer/index.js';
import {ResumeLimit} from '../resume-limit/index.js';
import {
	acquireEngine, chooseWeightsVersion, createEngineRequest, hasOtherEngine,
} from '../send-completion/index.js';

/** A completion in progress. */
export type CompletionCall = {
	readonly request: CompletionRequest;
	readonly signal: AbortSignal;
	/** The caller's secret, which must not be sent to a target. */
	readonly secret: string | undefined;
	/** Authorises the caller against the configuration currently in force. Called at least once for each attempt. */
	authorise(): {readonly model: ResolvedModel; readonly organisation: OrganisationId};
};

/** The engine's run that a stream comes from. */
type StreamOrigin = Pick<EngineResponse, 'requestId' | 'incarnation' | 'weightsVersion'>;

const maximumAttempts = 3;

const retryableResults: ReadonlySet<ResultName> = new Set(['targetUnreachable', 'targetRefused', 'targetTimeout', 'outcomeUnknown', 'streamBroken', 'answerMismatch']);
const resumableResults: ReadonlySet<ResultName> = new Set(['targetUnreachable', 'targetTimeout', 'outcomeUnknown', 'streamBroken', 'answerMismatch']);

/** Runs one completion. */
export class CompletionExchange {
	/** Whether an engine may have run the request. */
	mayHaveRun = false;
	private readonly excludedTargets = new Set<TargetId>();
	private weightsVersion: string | undefined;
	private readonly writer: ResponseWriter;
	/** Undefined before the first attempt. */
	private requests: CallRequests | undefined;
	/** Whether the weights changed after a part was sent, so that no other attempt can succeed. */
	private haveWeightsChanged = false;
	/** Number of the present attempt, from 1. */
	private attempt = 1;

	constructor(private readonly context: RouterContext, private readonly call: CompletionCall, sink: CompletionSink) {
		this.writer = new ResponseWriter(sink, context.metrics);
	}

	/** Resolves when the sink has the whole response. Otherwise rejects with a `RouterError` that covers all attempts. */
	async run(): Promise<void> {
		try {
			await this.runAttempts();
		} finally {
			this.requests?.end(this.context.clock.readMonotonic());
		}
	}

	private async runAttempts(): Promise<void> {
		for (;; this.attempt += 1) {
			try {
				await this.runAttempt();
				return;
			} catch (error) {
				const failure = convertToRouterError(error);
				if (!this.tryPrepareRetry(failure)) {
					throw createCallError(failure, {mayHaveRun: this.mayHaveRun, signal: this.call.signal});
				}

				await this.context.clock.sleep(calculateBackoff(this.attempt, Math.random()), this.call.signal);
			}
		}
	}

	private async runAttempt(): Promise<void> {
		const {context, call} = this;
		checkSignal(call.signal);
		const {model: declared, organisation} = call.authorise();
		const model = chooseWeightsVersion(context, declared);
		this.checkWeightsVersion(model);
		this.requests ??= new CallRequests(noPriorRequests, this.findRetryBudget(model));
		const completion = {request: call.request, model, organisation};
		const {slot, expectedIncarnation} = await acquireEngine(context, completion, {excluded: this.excludedTargets, signal: call.signal});
		try {
			// The key may have been withdrawn while the request waited for an engine.
			call.authorise();
			const request = createEngineRequest(completion, randomUUID() as RequestId, expectedIncarnation);
			if (!context.metrics.checkInvariant('noSecretInOutgoingBytes', !containsSecret(request.body, call.secret))) {
				throw createRouterError('malformedRequest', 'the body contains the caller\'s key');
			}

			this.requests.recordSent(context.clock.readMonotonic());
			await this.executeRequest(slot, request, model);
		} finally {
			slot.release();
		}
	}

	/** Sends the request to the engine and reads its response. On failure, cancels the request unless the engine did not run it. */
	private async executeRequest(slot: EngineSlot, request: EngineRequest, model: ResolvedModel): Promise<void> {
		const {engine} = slot;
		let isComplete = false;
		let mayBeRunning = false;
		try {
			const answer = await this.openStream(engine, request);
			mayBeRunning = true;
			await this.readAnswer(slot, request, answer, model);
			isComplete = true;
		} catch (error) {
			const failure = convertToRouterError(error);
			// Once the request was sent, `notRun` only says that a resume was not carried out.
			mayBeRunning ||= !failure.notRun;
			if (!mayBeRunning && failure.entry.name === 'targetUnreachable') {
				this.requests?.recordNotSent(this.context.clock.readMonotonic());
			}

			this.recordFailure(engine, failure);
			throw failure;
		} finally {
			this.mayHaveRun ||= mayBeRunning;
			if (!isComplete && mayBeRunning) {
				this.cancelRequest(engine, request.requestId);
			}
		}
	}

	/** Reads the response to its end, from `firstAnswer` on if that has arrived. Resumes the stream on a new connection where it breaks. */
	private async readAnswer(slot: EngineSlot, request: EngineRequest, firstAnswer: EngineResponse | undefined, model: ResolvedModel): Promise<void> {
		const reader = new ChunkReader(request.requestId, this.context.metrics);
		const limit = new ResumeLimit(this.context.settings.streamSilenceMs);
		const origin = firstAnswer ?? {requestId: request.requestId, incarnation: request.expectedIncarnation!, weightsVersion: model.weightsVersion};
		let answer = firstAnswer;
		for (;;) {
			try {
				answer ??= await this.resumeStream(slot.engine, origin, reader.nextOffset, limit);
				await this.forwardChunks(answer, reader, slot, model);
				return;
			} catch (error) {
				const failure = convertToRouterError(error);
				const mayResume = !this.hasPermanentFailure() && !this.call.signal.aborted && resumableResults.has(failure.entry.name as ResultName);
				if (!mayResume || !limit.tryResume(reader.nextOffset, this.isReplaceable(slot.engine, model), this.context.clock.readMonotonic())) {
					throw failure;
				}

				answer = undefined;
				await this.context.clock.sleep(calculateBackoff(limit.resumes, Math.random()), this.call.signal);
				checkSignal(this.call.signal);
			}
		}
	}

	/** Sends the request. Resolves to undefined if the answer was lost, and the engine may be running the request and have its stream. */
	private async openStream(engine: EngineMonitor, request: EngineRequest): Promise<EngineResponse | undefined> {
		try {
			return await engine.client.complete(request, this.call.signal);
		} catch (error) {
			const failure = convertToRouterError(error);
			if (failure.entry.name !== 'outcomeUnknown' || request.expectedIncarnation === undefined || this.call.signal.aborted) {
				throw failure;
			}

			return undefined;
		}
	}

	private async resumeStream(engine: EngineMonitor, origin: StreamOrigin, offset: number, limit: ResumeLimit): Promise<EngineResponse> {
		this.context.metrics.resumes.inc();
		const answer = await engine.client.resume(origin.requestId, offset, origin.incarnation, this.call.signal);
		if (answer === undefined) {
			limit.end();
			throw createRouterError('streamBroken', 'the engine no longer has the stream');
		}

		if (answer.incarnation !== origin.incarnation || answer.weightsVersion !== origin.weightsVersion) {
			throw createRouterError('targetRefused', 'the resumed stream belongs to another incarnation or weights version', {mayHaveRun: true});
		}

		return answer;
	}

	private async forwardChunks(answer: EngineResponse, reader: ChunkReader, slot: EngineSlot, model: ResolvedModel): Promise<void> {
		for await (const chunk of answer.chunks) {
			const offset = reader.nextOffset;
			const data = reader.accept(chunk);
			slot.recordFirstChunk();
			if (data !== undefined) {
				const drained = this.writer.write({data, offset, isDeterministic: model.deterministic});
				if (drained !== undefined) {
					await drained;
				}
			}

			if (reader.isDone) {
				return;
			}
		}

		throw createRouterError('streamBroken');
	}

	/** Throws if the weights version changed after a part was sent, since another version may generate another response even with a deterministic model. */
	private checkWeightsVersion(model: ResolvedModel): void {
		if (this.writer.hasSent && this.weightsVersion !== model.weightsVersion) {
			this.haveWeightsChanged = true;
			throw createRouterError('streamBroken', 'the weights version changed while the response was being sent');
		}

		this.weightsVersion = model.weightsVersion;
	}

	/** Returns whether neither a resume nor another attempt can succeed. */
	private hasPermanentFailure(): boolean {
		return this.haveWeightsChanged || this.writer.hasMismatch;
	}

	/** Returns whether another attempt, at another engine than `engine`, can bring the response. */
	private isReplaceable(engine: EngineMonitor, model: ResolvedModel): boolean {
		return this.attempt < maximumAttempts && this.findRetryBudget(model).readLevel(this.context.clock.readMonotonic()) >= 1
			&& (!this.writer.hasSent || this.canRegenerate()) && hasOtherEngine(this.context, model, engine);
	}

	/** Returns whether the request may be retried. If so, takes a retry from the budget and prepares the next attempt. */
	private tryPrepareRetry(failure: RouterError): boolean {
		const {call, writer, context} = this;
		const name = failure.entry.name as ResultName;
		if (this.hasPermanentFailure() || call.signal.aborted || this.attempt === maximumAttempts || !retryableResults.has(name)) {
			return false;
		}

		if ((writer.hasSent && !this.canRegenerate()) || this.requests?.reserve(context.clock.readMonotonic()) === false) {
			return false;
		}

		context.metrics.retries.inc({kind: 'completion', reason: name});
		writer.resetForRetry();
		return true;
	}

	/** Returns whether a new attempt would generate the same response as the one already begun. */
	private canRegenerate(): boolean {
		try {
			return this.call.authorise().model.deterministic;
		} catch {
			// The key was withdrawn or the model was removed in the meantime.
			return false;
		}
	}

	private recordFailure(engine: EngineMonitor, failure: RouterError): void {
		if (this.call.signal.aborted) {
			return;
		}

		const {name} = failure.entry;
		if (name === 'answerMismatch') {
			this.context.metrics.droppedAnswers.inc();
		}

		if (retryableResults.has(name as ResultName)) {
			this.excludedTargets.add(engine.target.id);
		}

		if (name === 'targetUnreachable') {
			engine.markFailed();
		}

		this.context.logger.warn('attempt failed', {target: engine.target.id, result: name, reason: failure.message});
	}

	private findRetryBudget({base}: ResolvedModel): RetryGate {
		return this.context.findRetryBudget(base as ServiceId);
	}

	/** Asks the engine to stop generating. The call does not wait for that. */
	private cancelRequest(engine: EngineMonitor, requestId: RequestId): void {
		this.context.metrics.cancellations.inc();
		void engine.cancelRun(requestId, this.context.settings.streamSilenceMs);
	}
}
