/**
 * One call of a caller on its way: admission, choice of a target, attempts, and the answer back.
 *
 * A call that may not be repeated is sent again only after a target stated that it did not run it, or
 * when no byte was sent. A resumable stream that broke off goes on at another target after the last
 * whole event that the caller has.
 */

import {chooseTarget, type SharedPrefix} from '../../fleet/choose-target/index.js';
import type {FleetTarget, TargetCall} from '../../fleet/fleet-target/index.js';
import {formatPrefixKey} from '../../fleet/prefix-directory/index.js';
import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';
import {createRouterError, type RouterError} from '../../results/create-router-error/index.js';
import type {CallerOrganisation, Route, ServiceId} from '../../routing/routing-types/index.js';
import type {
	AnswerHead, CallerSink, InboundCall,
} from '../call-types/index.js';
import {EventSplitter} from '../event-splitter/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import {planNextStep, type AttemptFailure} from '../plan-next-step/index.js';
import type {Exchange, ExchangeStage} from '../target-exchange/index.js';

/** A call that passed the checks of its route and key. */
export type SessionOptions = {
	readonly call: InboundCall;
	readonly body: Buffer | undefined;
	readonly route: Route;
	readonly service: ServiceId;
	readonly organisation: CallerOrganisation | undefined;
	readonly arrivedAt: MonotonicMs;
	readonly sink: CallerSink;
	/** Answers the caller with an error before any answer was begun. */
	readonly refuse: (error: RouterError) => void;
};

type Attempt = {
	readonly target: FleetTarget;
	readonly record: TargetCall;
	readonly weightsVersion: number | undefined;
	exchange: Exchange | undefined;
	head: AnswerHead | undefined;
	heardAt: MonotonicMs;
};

/** Time that a call waits for a target to become usable, as a part of its latency goal. */
const waitShare = 0.6;
/** Answers of idempotent calls up to this size are kept back until they are complete, in bytes. */
const maximumKeptBytes = 256 * 1024;
/** Silence of a stream after which another target continues it, in milliseconds. */
const streamSilenceMs = 1000;
/** Time without an answer after which a call is moved from a target that has gone silent, in milliseconds. */
const moveAfterMs = 1200;
/** Seconds until a caller may return when no target could take its call, before they are spread. */
const retryAfterSeconds = 0.3;
const priorities = 10;
/** Shared tokens below which neither placement nor transfers of cache entries pay. */
const shortestPrefixTokens = 1000;

/** A call in progress. */
export class CallSession {
	readonly deadline: MonotonicMs;
	private readonly sharedPrefix: SharedPrefix | undefined;
	private readonly tried = new Set<FleetTarget>();
	private attempt: Attempt | undefined;
	private attempts = 0;
	private runs = 0;
	private isDone = false;
	private hasBegun = false;
	private kept: Buffer[] = [];
	private keptBytes = 0;
	private splitter: EventSplitter | undefined;
	private lastEventId: string | undefined;
	private chargedTokens = 0;
	private passedBytes = 0;
	private pauses = 0;
	private firstSentAt: MonotonicMs | undefined;
	private firstHeardAt: MonotonicMs | undefined;
	private deadlineTimer: NodeJS.Timeout | undefined;
	private stopWaiting: (() => void) | undefined;
	private onDone: (() => void) | undefined;

	constructor(private readonly options: SessionOptions, private readonly context: ForwardingContext) {
		const {call, route, arrivedAt} = options;
		this.deadline = arrivedAt + Math.min(call.waitMs ?? route.timeoutMs, route.timeoutMs) as MonotonicMs;
		this.lastEventId = call.lastEventId;
		this.sharedPrefix = findSharedPrefix(call);
	}

	private get isRepeatable(): boolean {
		const {kind, isResumable} = this.options.route;
		return kind === 'idempotent' || (kind === 'streaming' && isResumable);
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
			this.expire();
		}, Math.max(0, this.deadline - this.readNow()));
		if (await this.charge()) {
			this.context.findRetryBudget(this.options.service).noteRequest();
			this.tryNext();
		} else {
			this.refuse(createRouterError('budgetExceeded', undefined, {retryAfterSeconds: this.spreadRetry(1)}));
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
		if (!this.isDone) {
			this.attempt?.exchange?.abort();
			this.fail(this.mayHaveRun ? createRouterError('outcomeUnknown', 'the instance is stopping') : createRouterError('stopping'));
		}
	}

	/** Moves a repeatable call away from a target that has gone silent. */
	checkSilence(now: MonotonicMs): void {
		const {attempt} = this;
		if (attempt === undefined || !this.isRepeatable || this.isDone) {
			return;
		}

		const isStuck = attempt.head === undefined
			? attempt.target.isSilent(now) && now - attempt.record.sentAt > moveAfterMs
			: now - attempt.heardAt > streamSilenceMs && now - attempt.target.readHeardAt() > streamSilenceMs;
		if (isStuck && this.hasAlternative(attempt.target, now)) {
			attempt.exchange?.abort();
			this.handleFailure(attempt, attempt.head === undefined ? 'sent' : 'answering', new Error('target silent'));
		}
	}

	private readNow(): MonotonicMs {
		return this.context.clock.readMonotonic();
	}

	private async charge(): Promise<boolean> {
		const {organisation, call} = this.options;
		if (organisation?.quota === undefined) {
			return true;
		}

		const {plainCallTokens, countsTokens} = organisation.quota;
		const tokens = call.work === undefined || !countsTokens ? plainCallTokens : call.work.promptTokens + call.work.maximumOutputTokens;
		const isCharged = await this.context.quota.charge(organisation, tokens);
		this.chargedTokens = isCharged ? tokens : 0;
		return isCharged;
	}

	private hasAlternative(target: FleetTarget, now: MonotonicMs): boolean {
		return this.context.fleet.listServing(this.options.service, now)
			.some(other => other !== target && !this.tried.has(other) && !other.isSilent(now) && !other.isCordoned(now));
	}

	private tryNext(): void {
		if (this.isDone) {
			return;
		}

		const now = this.readNow();
		const target = this.choose(now);
		if (target === undefined) {
			this.waitForTarget(now);
		} else {
			this.send(target, now);
		}
	}

	private choose(now: MonotonicMs): FleetTarget | undefined {
		const {call, service} = this.options;
		const {fleet, dataCentre, draw, findNamedWeights} = this.context;
		const targets = fleet.listServing(service, now);
		return chooseTarget({
			targets,
			excluded: this.tried,
			model: call.work?.model,
			named: call.work === undefined ? undefined : findNamedWeights(call.work.model),
			sharedPrefix: this.sharedPrefix,
			holders: new Set(targets.filter(target => this.isHolder(target, now))),
			dataCentre,
			draw: draw(),
		}, now);
	}

	/** Waits until the fleet changes, up to a part of the latency goal. */
	private waitForTarget(now: MonotonicMs): void {
		const {route, arrivedAt} = this.options;
		const waitUntil = Math.min(arrivedAt + (route.latencyGoalMs * waitShare), this.deadline);
		if (now >= waitUntil) {
			this.refuse(this.mayHaveRun
				? createRouterError('outcomeUnknown', 'no other target is usable')
				: createRouterError('noTarget', undefined, {retryAfterSeconds: this.spreadRetry(retryAfterSeconds)}));
			return;
		}

		const retry = () => {
			this.stopWaiting?.();
			this.stopWaiting = undefined;
			this.tried.clear();
			this.tryNext();
		};

		const unsubscribe = this.context.fleet.subscribe(retry);
		const timer = setTimeout(retry, waitUntil - now);
		this.stopWaiting = () => {
			unsubscribe();
			clearTimeout(timer);
		};
	}

	private send(target: FleetTarget, now: MonotonicMs): void {
		const {call, route, organisation, body} = this.options;
		const weightsVersion = call.work === undefined ? undefined : target.readVersion(call.work.model);
		const store = this.sharedPrefix === undefined ? undefined : this.chooseCacheStore();
		const attempt: Attempt = {
			target, weightsVersion, exchange: undefined, head: undefined, heardAt: now,
			record: target.beginCall(estimatePrefill(call, this.isHolder(target, now)), now),
		};
		this.attempt = attempt;
		this.attempts += 1;
		this.firstSentAt ??= now;
		this.tried.add(target);
		const headers = this.context.protocol.buildHeaders(call, {
			target, route, weightsVersion,
			organisation: organisation?.id,
			remainingMs: this.deadline - now,
			cacheScope: this.formatScope(target),
			priority: Math.min(organisation?.priority ?? route.priority, priorities - 1),
			cacheSource: store,
			cacheDestination: store,
			lastEventId: this.lastEventId,
		});
		attempt.exchange = this.context.exchange.start(target, {
			method: call.method, path: call.path, headers, body, isFresh: !this.isRepeatable,
		}, {
			onHead: (status, rawHeaders) => {
				this.handleHead(attempt, this.context.protocol.readHead(call, target.description.id, status, rawHeaders));
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

	/** Name space of the call's cache entries at a target: they hold for one version of the weights, and for one organisation if it is isolated. */
	private formatScope(target: FleetTarget): string | undefined {
		const {call, organisation} = this.options;
		return call.work === undefined ? undefined : `${organisation?.isIsolated ? organisation.id : ''}/${target.readVersion(call.work.model) ?? 0}`;
	}

	private isHolder(target: FleetTarget, now: MonotonicMs): boolean {
		return this.listHolders(target, now).includes(target.description.id);
	}

	/** Targets that probably hold the shared prefix in the name space that the call has at `target`. */
	private listHolders(target: FleetTarget, now: MonotonicMs): readonly TargetId[] {
		const scope = this.formatScope(target);
		return scope === undefined || this.sharedPrefix === undefined
			? []
			: this.context.prefixes.listHolders(formatPrefixKey(scope, this.sharedPrefix.id), now);
	}

	private noteUse(target: FleetTarget, now: MonotonicMs): void {
		const scope = this.formatScope(target);
		if (scope !== undefined && this.sharedPrefix !== undefined) {
			this.context.prefixes.noteOwnUse(formatPrefixKey(scope, this.sharedPrefix.id), target.description.id, now);
		}
	}

	private chooseCacheStore(): string | undefined {
		const stores = this.context.listCacheStores();
		return (stores.find(store => store.dataCentre === this.context.dataCentre) ?? stores[0])?.address;
	}

	private handleHead(attempt: Attempt, head: AnswerHead): void {
		const now = this.readNow();
		attempt.head = head;
		attempt.heardAt = now;
		this.noteVersion(attempt, head);
		if (head.isNotRun) {
			this.handleRejection(attempt, head, now);
			return;
		}

		if (!head.isGenuine) {
			attempt.exchange?.abort();
			attempt.head = undefined;
			this.handleFailure(attempt, 'sent', new Error(`answer with status ${head.status} is not the target's own`));
			return;
		}

		attempt.target.noteAnswer(attempt.record, now);
		this.noteUse(attempt.target, now);
		if (head.status >= 500 && this.retryFailedAnswer(attempt)) {
			return;
		}

		this.beginAnswer(head);
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
		if (this.options.route.kind !== 'idempotent') {
			return false;
		}

		const step = planNextStep({...this.buildStepQuery('unknown'), runs: this.runs + 1});
		if (step.type === 'retry') {
			attempt.exchange?.abort();
			this.endAttempt(attempt);
			this.runs += 1;
			this.tryNext();
		}

		return step.type === 'retry';
	}

	private beginAnswer(head: AnswerHead): void {
		if (this.options.route.kind === 'streaming' && this.options.route.isResumable && head.status === 200) {
			this.splitter ??= new EventSplitter(this.lastEventId);
		}

		if (!this.hasBegun && this.options.route.kind !== 'idempotent') {
			this.hasBegun = true;
			this.options.sink.begin(head.status, head.headers);
		}
	}

	private handleChunk(attempt: Attempt, chunk: Buffer): void {
		const now = this.readNow();
		attempt.heardAt = now;
		this.firstHeardAt ??= now;
		attempt.target.noteHeard(now);
		if (!this.hasBegun) {
			this.keep(attempt, chunk);
		} else if (this.splitter === undefined) {
			this.pass(attempt, chunk);
		} else {
			const {bytes, lastEventId} = this.splitter.add(chunk);
			this.lastEventId = lastEventId;
			this.pass(attempt, bytes);
		}
	}

	/** Keeps the answer of an idempotent call back, so that a broken one can be repeated. */
	private keep(attempt: Attempt, chunk: Buffer): void {
		this.kept.push(chunk);
		this.keptBytes += chunk.length;
		if (this.keptBytes > maximumKeptBytes) {
			this.passKept(attempt.head!);
		}
	}

	private passKept(head: AnswerHead): void {
		const {sink} = this.options;
		this.hasBegun = true;
		sink.begin(head.status, head.headers);
		for (const chunk of this.kept) {
			sink.write(chunk);
		}

		this.kept = [];
	}

	private pass(attempt: Attempt, bytes: Buffer): void {
		this.passedBytes += bytes.length;
		if (bytes.length > 0 && !this.options.sink.write(bytes)) {
			this.pauses += 1;
			attempt.exchange?.pause();
			this.options.sink.onDrain(() => {
				attempt.exchange?.resume();
			});
		}
	}

	private handleEnd(attempt: Attempt): void {
		const head = attempt.head!;
		attempt.target.noteSuccess();
		this.endAttempt(attempt);
		if (!this.hasBegun) {
			this.passKept(head);
		}

		const rest = this.splitter?.flush();
		if (rest !== undefined && rest.length > 0) {
			this.options.sink.write(rest);
		}

		this.options.sink.end();
		this.finish('answered', head.status, attempt);
	}

	private handleFailure(attempt: Attempt, stage: ExchangeStage, error: Error): void {
		if (this.attempt !== attempt || this.isDone) {
			return;
		}

		this.endAttempt(attempt);
		if (stage === 'notSent') {
			attempt.target.noteUnreachable(this.readNow());
			this.goOn('notRun', error.message, attempt);
			return;
		}

		attempt.target.noteFailure(this.readNow());
		this.runs += 1;
		this.kept = [];
		this.keptBytes = 0;
		this.splitter?.discardRest();
		this.goOn(this.hasBegun ? 'broken' : 'unknown', error.message, attempt);
	}

	private buildStepQuery(failure: AttemptFailure) {
		const {route, service} = this.options;
		return {
			failure,
			isRepeatable: this.isRepeatable && (!this.hasBegun || this.splitter !== undefined),
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

		const retryAfter = step.result === 'targetRefused' ? {retryAfterSeconds: this.spreadRetry(retryAfterSeconds)} : {};
		this.fail(createRouterError(step.result, reason, retryAfter));
	}

	private expire(): void {
		if (this.isDone) {
			return;
		}

		const {mayHaveRun} = this;
		this.attempt?.exchange?.abort();
		this.fail(mayHaveRun ? createRouterError('targetTimeout') : createRouterError('noTarget', 'no target took the call in time'));
	}

	/** Answers with an error, or breaks an answer that has begun. */
	private fail(error: RouterError): void {
		if (this.hasBegun) {
			this.options.sink.destroy();
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
			this.refund();
		}

		this.options.refuse(error);
		this.finish(error.entry.name, error.entry.httpStatus);
	}

	private refund(): void {
		if (this.chargedTokens > 0 && this.options.organisation !== undefined) {
			this.context.quota.refund(this.options.organisation, this.chargedTokens);
			this.chargedTokens = 0;
		}
	}

	private spreadRetry(seconds: number): number {
		return seconds * (1 + this.context.draw());
	}

	private noteVersion({target}: Attempt, {weightsVersion}: AnswerHead): void {
		const {work} = this.options.call;
		if (work !== undefined && weightsVersion !== undefined) {
			target.noteVersion(work.model, weightsVersion);
		}
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
		this.stopWaiting?.();
		const attempt = last ?? this.attempt;
		if (this.attempt !== undefined) {
			this.endAttempt(this.attempt);
		}

		const {call, route, organisation, arrivedAt} = this.options;
		const durationMs = Math.round(this.readNow() - arrivedAt);
		const measure = (at: MonotonicMs | undefined) => at === undefined ? undefined : Math.round(at - arrivedAt);
		this.context.logger.info('call finished', {
			id: call.id, outcome, status, route: route.id, organisation: organisation?.id,
			target: attempt?.target.description.id, weights: attempt?.weightsVersion, attempts: this.attempts,
			sentMs: measure(this.firstSentAt), firstMs: measure(this.firstHeardAt), heardMs: measure(attempt?.heardAt), durationMs,
			passedBytes: this.passedBytes, pauses: this.pauses,
		});
		this.context.report({
			outcome, status, durationMs, route: route.id, attempts: this.attempts,
		});
		this.onDone?.();
	}
}

/** The deepest part of the prompt that other calls share: all but the last part. Undefined when it is too short to matter. */
function findSharedPrefix({work}: InboundCall): SharedPrefix | undefined {
	const shared = work?.parts.slice(0, -1) ?? [];
	const last = shared.at(-1);
	const tokens = shared.reduce((sum, part) => sum + part.tokens, 0);
	return last === undefined || tokens < shortestPrefixTokens ? undefined : {id: last.id, tokens};
}

/** Prompt tokens that a target computes for the call; without the shared parts when it has or can fetch them. */
function estimatePrefill({work}: InboundCall, hasPrefix: boolean): number {
	if (work === undefined) {
		return 0;
	}

	return hasPrefix ? work.parts.at(-1)?.tokens ?? work.promptTokens : work.promptTokens;
}
