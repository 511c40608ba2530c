/**
 * One completion from its admission to its end: attempts at engines, resumes of broken streams, and restarts
 * where they cannot mix two generations in one answer.
 */

import {randomUUID} from 'node:crypto';
import {createRouterError, convertToRouterError, type RouterError} from '../../results/create-router-error/index.js';
import type {ResultName} from '../../results/result-codes/index.js';
import type {OrganisationId, RequestId, TargetId} from '../../identity/ids/index.js';
import type {ResolvedModel} from '../../configuration/configuration/index.js';
import type {EngineSlot} from '../../fairness/engine-gate/index.js';
import type {EngineAnswer, EngineRequest} from '../../targets/engine-client/index.js';
import type {EngineMonitor} from '../../targets/engine-monitor/index.js';
import {calculateBackoff} from '../calculate-backoff/index.js';
import {containsSecret} from '../filter-secrets/index.js';
import {checkSignal} from '../open-call-signal/index.js';
import type {CompletionRequest} from '../parse-completion-request/index.js';
import {ChunkReader, type WireChunk} from '../read-chunks/index.js';
import type {RouterContext} from '../router-context/index.js';
import {acquireEngine, chooseModel, createEngineRequest} from '../send-completion/index.js';

/** Where an answer goes. */
export type AnswerSink = {
	/** Whether any part of the answer has reached the caller, so that it cannot be taken back. */
	readonly hasSent: boolean;
	/** Takes the next chunk; resolves when the caller can take more. */
	write(chunk: WireChunk): Promise<void> | undefined;
	/** Forgets what was collected; called only while nothing was sent. */
	reset(): void;
};

/** A completion on its way. */
export type CompletionCall = {
	readonly request: CompletionRequest;
	readonly signal: AbortSignal;
	/** The caller's secret; it may not leave towards a target. */
	readonly secret: string | undefined;
	/** Checks the caller against the configuration now in force; called at the start of each attempt. */
	authorise(): {readonly model: ResolvedModel; readonly organisation: OrganisationId};
};

const maximumAttempts = 3;
/** Resumes in a row without a new chunk. */
const maximumResumes = 2;

const restartable: ReadonlySet<ResultName> = new Set(['targetUnreachable', 'targetRefused', 'targetTimeout', 'outcomeUnknown', 'streamBroken', 'answerMismatch']);
const resumable: ReadonlySet<ResultName> = new Set(['targetUnreachable', 'targetTimeout', 'outcomeUnknown', 'streamBroken', 'answerMismatch']);

/** Runs one completion. */
export class CompletionExchange {
	/** Whether an engine may have run the request. */
	mayHaveRun = false;
	private readonly excluded = new Set<TargetId>();
	private weightsVersion: string | undefined;
	/** Choices written so far, kept only for deterministic models. */
	private readonly written: string[] = [];
	private writtenCount = 0;
	private writtenBy: RequestId | undefined;
	/** Whether another attempt cannot help. */
	private isFinal = false;

	constructor(private readonly context: RouterContext, private readonly call: CompletionCall, private readonly sink: AnswerSink) {}

	/** Resolves when the whole answer is in the sink; otherwise rejects with a `RouterError` that tells the truth about the whole call. */
	async run(): Promise<void> {
		for (let attempt = 1; ; attempt += 1) {
			try {
				await this.runAttempt();
				return;
			} catch (error) {
				const failure = convertToRouterError(error);
				if (!this.takeRestart(failure, attempt)) {
					throw this.describeFailure(failure);
				}

				await this.context.clock.sleep(calculateBackoff(attempt, Math.random()), this.call.signal);
			}
		}
	}

	private async runAttempt(): Promise<void> {
		const {context, call} = this;
		checkSignal(call.signal);
		const {model: declared, organisation} = call.authorise();
		const model = chooseModel(context, declared);
		this.checkWeights(model);
		const placed = {request: call.request, model, organisation};
		const {slot, expectedIncarnation} = await acquireEngine(context, placed, {excluded: this.excluded, signal: call.signal});
		try {
			// The key may have been withdrawn while the request waited for an engine.
			call.authorise();
			const request = createEngineRequest(placed, randomUUID() as RequestId, expectedIncarnation);
			if (!context.metrics.checkInvariant('noSecretInOutgoingBytes', !containsSecret(request.body, call.secret))) {
				throw createRouterError('malformedRequest', 'the body contains the caller\'s key');
			}

			await this.exchange(slot, request, model);
		} finally {
			slot.release();
		}
	}

	/** Sends the request to the engine and reads its answer. */
	private async exchange(slot: EngineSlot, request: EngineRequest, model: ResolvedModel): Promise<void> {
		const {engine} = slot;
		let isFinished = false;
		let isSent = true;
		try {
			const answer = await engine.client.complete(request, this.call.signal);
			this.mayHaveRun = true;
			await this.readAnswer(slot, answer, model);
			isFinished = true;
		} catch (error) {
			const failure = convertToRouterError(error);
			isSent = !failure.notRun;
			this.mayHaveRun ||= isSent;
			this.noteFailure(engine, failure);
			throw failure;
		} finally {
			if (!isFinished && isSent) {
				this.cancel(engine, request.requestId);
			}
		}
	}

	/** Reads the answer to its end, over as many connections as the stream needs. */
	private async readAnswer(slot: EngineSlot, first: EngineAnswer, model: ResolvedModel): Promise<void> {
		const reader = new ChunkReader(first.requestId, this.context.metrics);
		let answer: EngineAnswer | undefined = first;
		let resumes = 0;
		let position = 0;
		for (;;) {
			try {
				answer ??= await this.resume(slot.engine, first, reader.next);
				await this.forwardChunks(answer, reader, slot, model);
				return;
			} catch (error) {
				const failure = convertToRouterError(error);
				resumes = reader.next > position ? 1 : resumes + 1;
				position = reader.next;
				if (this.isFinal || this.call.signal.aborted || !resumable.has(failure.entry.name as ResultName) || resumes > maximumResumes) {
					throw failure;
				}

				answer = undefined;
				await this.context.clock.sleep(calculateBackoff(resumes, Math.random()), this.call.signal);
				checkSignal(this.call.signal);
			}
		}
	}

	private async resume(engine: EngineMonitor, first: EngineAnswer, offset: number): Promise<EngineAnswer> {
		this.context.metrics.resumes.inc();
		const answer = await engine.client.resume(first.requestId, offset, first.incarnation, this.call.signal);
		if (answer.incarnation !== first.incarnation || answer.weightsVersion !== first.weightsVersion) {
			throw createRouterError('targetRefused', 'the stream belongs to another incarnation', {mayHaveRun: true});
		}

		return answer;
	}

	private async forwardChunks(answer: EngineAnswer, reader: ChunkReader, slot: EngineSlot, model: ResolvedModel): Promise<void> {
		for await (const chunk of answer.chunks) {
			const offset = reader.next;
			const data = reader.accept(chunk);
			slot.noteFirstChunk();
			if (data !== undefined) {
				const wait = this.forwardChunk(data, offset, model);
				if (wait !== undefined) {
					await wait;
				}
			}

			if (reader.isDone) {
				return;
			}
		}

		throw createRouterError('streamBroken');
	}

	/** Passes a chunk on, or compares it with the one that was sent at its offset by an earlier generation. */
	private forwardChunk(data: WireChunk, offset: number, model: ResolvedModel): Promise<void> | undefined {
		const choices = model.deterministic ? JSON.stringify(data.choices) : '';
		if (offset < this.writtenCount) {
			if (this.written[offset] !== choices) {
				this.isFinal = true;
				throw createRouterError('answerMismatch', 'the answer generated again differs from the one begun; the model is not deterministic');
			}

			this.writtenBy = data.id as RequestId;
			return undefined;
		}

		const {metrics} = this.context;
		metrics.checkInvariant('contiguousOffsets', offset === this.writtenCount);
		metrics.checkInvariant('oneGeneration', this.writtenBy === undefined || this.writtenBy === data.id);
		this.writtenBy = data.id as RequestId;
		this.writtenCount += 1;
		if (model.deterministic) {
			this.written.push(choices);
		}

		return this.sink.write(data);
	}

	/** Another version of the weights is another generation, even when the model is deterministic. */
	private checkWeights(model: ResolvedModel): void {
		if (this.sink.hasSent && this.weightsVersion !== model.weightsVersion) {
			this.isFinal = true;
			throw createRouterError('streamBroken', 'the weights changed while the answer was on its way');
		}

		this.weightsVersion = model.weightsVersion;
	}

	private takeRestart(failure: RouterError, attempt: number): boolean {
		const {call, sink, context} = this;
		const name = failure.entry.name as ResultName;
		if (this.isFinal || call.signal.aborted || attempt === maximumAttempts || !restartable.has(name)) {
			return false;
		}

		if ((sink.hasSent && !this.canRepeat()) || !context.retryBudget.take()) {
			return false;
		}

		context.metrics.retries.inc({kind: 'completion', reason: name});
		this.prepareRestart();
		return true;
	}

	private canRepeat(): boolean {
		try {
			return this.call.authorise().model.deterministic;
		} catch {
			// The key was withdrawn or the model removed meanwhile.
			return false;
		}
	}

	private prepareRestart(): void {
		if (this.writtenCount > 0) {
			this.context.metrics.restarts.inc();
		}

		if (!this.sink.hasSent) {
			this.sink.reset();
			this.written.length = 0;
			this.writtenCount = 0;
			this.writtenBy = undefined;
		}
	}

	private noteFailure(engine: EngineMonitor, failure: RouterError): void {
		if (this.call.signal.aborted) {
			return;
		}

		const {name} = failure.entry;
		if (name === 'answerMismatch') {
			this.context.metrics.droppedAnswers.inc();
		}

		if (restartable.has(name as ResultName)) {
			this.excluded.add(engine.target.id);
		}

		if (name === 'targetUnreachable') {
			engine.markFailed();
		}

		this.context.logger.warn('attempt failed', {target: engine.target.id, result: name, reason: failure.message});
	}

	/** Tells the engine to stop. Lost cancellations only cost the engine's time. */
	private cancel(engine: EngineMonitor, requestId: RequestId): void {
		this.context.metrics.cancellations.inc();
		engine.client.cancel(requestId).catch(() => {
			// The engine may be down, which stops the request as well.
		});
	}

	/** The error of the last attempt as a statement about all attempts. */
	private describeFailure(failure: RouterError): RouterError {
		if (this.call.signal.aborted) {
			const reason = this.call.signal.reason as RouterError;
			const isLate = reason.entry.name === 'targetTimeout';
			return isLate && !this.mayHaveRun ? createRouterError('overloaded', 'the deadline passed before the request was sent') : reason;
		}

		if (this.mayHaveRun && failure.notRun) {
			return createRouterError('outcomeUnknown', `an earlier attempt may have run; the last one failed: ${failure.message}`, {cause: failure});
		}

		return failure;
	}
}
