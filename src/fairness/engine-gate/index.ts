/**
 * Admission of requests to engines. A request is placed at once if the best engine for it has capacity
 * and none waits before it; otherwise it waits in the fair queue of its model. A slot counts as in use
 * from the choice of the engine until its release.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {ResolvedModel} from '../../configuration/configuration/index.js';
import type {
	BlockKey, Incarnation, OrganisationId, TargetId,
} from '../../identity/ids/index.js';
import {bytesPerToken, pieceBytes} from '../../placement/hash-prompt/index.js';
import {formatQueryScope, type Placement, type PlacementQuery} from '../../placement/placement/index.js';
import {createRouterError, type RouterError} from '../../results/create-router-error/index.js';
import type {EngineMonitor} from '../../targets/engine-monitor/index.js';
import {FairQueue, type QueueEntry} from '../fair-queue/index.js';
import {
	placedCachedTokens, placedPromptTokens, queueLength, queueRefusals, queueWaitSeconds,
} from '../queue-metrics/index.js';

/** Options of `EngineGate`. */
export type EngineGateOptions = {
	readonly clock: Clock;
	readonly placement: Placement;
	readonly prefillTokensPerMs: number;
	/** Estimated wait at an engine, for prefill and a slot, from which it counts as full. */
	readonly engineBacklogMs: number;
	/** Maximum time that a request waits in the queue. */
	readonly queueWaitMs: number;
	/** Maximum number of waiting requests per model. */
	readonly queuedRequests: number;
	/** Counts the entry instances that send to the same engines, including this one. */
	countInstances(): number;
};

/** A request that needs an engine. */
export type EngineDemand = {
	readonly model: ResolvedModel;
	readonly organisation: OrganisationId;
	/** Share of the organisation relative to others. */
	readonly weight: number;
	readonly blocks: readonly BlockKey[];
	readonly promptTokens: number;
	readonly maximumTokens: number;
	/** Engines that failed this request before. */
	readonly excluded: ReadonlySet<TargetId>;
	/** Aborts when the caller disconnects. */
	readonly signal: AbortSignal;
	/** Lists the engines that may serve the request now. */
	listCandidates(): readonly EngineMonitor[];
	/** Whether any engine has not been polled yet and may turn out to be a candidate. */
	hasUnpolledEngines(): boolean;
};

/** Reservation of an engine for one request. */
export type EngineSlot = {
	readonly engine: EngineMonitor;
	/** Incarnation of the engine when it was chosen by its cache and load. */
	readonly incarnation: Incarnation | undefined;
	/** Records the arrival of the first chunk. Later calls have no effect. */
	recordFirstChunk(): void;
	/** Ends the reservation. Later calls have no effect. */
	release(): void;
};

const pieceTokens = pieceBytes / bytesPerToken;
/** Interval at which waiting requests are retried, since the estimated load of an engine falls over time. */
const drainIntervalMs = 20;
const msPerSecond = 1000;

/** Admits requests to engines. */
export class EngineGate {
	private readonly queues = new Map<string, FairQueue>();
	private isDraining = false;

	constructor(private readonly options: EngineGateOptions) {}

	/** Chooses an engine, and waits for one if necessary. Nothing was sent if it rejects, for example with `noTarget` or `overloaded`. */
	async acquire(demand: EngineDemand): Promise<EngineSlot> {
		if (demand.signal.aborted) {
			throw createDisconnectedError();
		}

		const queue = this.getOrCreateQueue(demand.model);
		const slot = queue.length === 0 ? this.place(demand, 0) : undefined;
		return slot ?? this.waitForSlot(queue, demand);
	}

	private getOrCreateQueue(model: ResolvedModel): FairQueue {
		const queue = this.queues.get(model.id) ?? new FairQueue({maximumEntries: this.options.queuedRequests});
		this.queues.set(model.id, queue);
		return queue;
	}

	private async waitForSlot(queue: FairQueue, demand: EngineDemand): Promise<EngineSlot> {
		const enqueuedAt = this.options.clock.readMonotonic();
		return new Promise((resolve, reject) => {
			const refuse = (error: RouterError) => {
				queueRefusals.inc({organisation: demand.organisation});
				reject(error);
			};

			const entry: QueueEntry = {
				organisation: demand.organisation,
				weight: demand.weight,
				costTokens: demand.promptTokens + demand.maximumTokens,
				deadline: enqueuedAt + this.options.queueWaitMs as typeof enqueuedAt,
				start: () => this.tryStart(demand, enqueuedAt, resolve, reject),
				refuse,
			};
			try {
				const remove = queue.enqueue(entry, enqueuedAt);
				demand.signal.addEventListener('abort', () => {
					remove();
					reject(createDisconnectedError());
				}, {once: true});
			} catch (error) {
				refuse(error as RouterError);
			}

			void this.drainUntilEmpty();
		});
	}

	private tryStart(demand: EngineDemand, enqueuedAt: number, resolve: (slot: EngineSlot) => void, reject: (error: unknown) => void): boolean {
		try {
			const slot = this.place(demand, this.options.clock.readMonotonic() - enqueuedAt);
			if (slot === undefined) {
				return false;
			}

			queueWaitSeconds.observe({organisation: demand.organisation}, (this.options.clock.readMonotonic() - enqueuedAt) / msPerSecond);
			resolve(slot);
		} catch (error) {
			reject(error);
		}

		return true;
	}

	/** Retries waiting requests until none is left. */
	private async drainUntilEmpty(): Promise<void> {
		if (this.isDraining) {
			return;
		}

		this.isDraining = true;
		while (this.drainQueues() > 0) {
			await this.options.clock.sleep(drainIntervalMs);
		}

		this.isDraining = false;
	}

	/** Starts waiting requests where possible. Returns the number of those that still wait. */
	private drainQueues(): number {
		let waiting = 0;
		for (const queue of this.queues.values()) {
			queue.drain(this.options.clock.readMonotonic());
			waiting += queue.length;
		}

		queueLength.set(waiting);
		return waiting;
	}

	/** Places a request. Returns undefined when the best engine for it is full or the candidates are not known yet. */
	private place(demand: EngineDemand, waitedMs: number): EngineSlot | undefined {
		const now = this.options.clock.readMonotonic();
		const candidates = demand.listCandidates();
		if (candidates.length === 0 && demand.hasUnpolledEngines()) {
			return undefined;
		}

		if (candidates.length === 0) {
			throw createRouterError('noTarget', `model ${demand.model.id}`);
		}

		// Another attempt at an engine that failed this request is better than a refusal.
		const excluded = candidates.every(engine => demand.excluded.has(engine.target.id)) ? new Set<TargetId>() : demand.excluded;
		const usable = candidates.filter(engine => !excluded.has(engine.target.id));
		const full = new Set(usable.filter(engine => !this.hasCapacity(engine)));
		if (full.size === usable.length) {
			return undefined;
		}

		const query: PlacementQuery = {
			...demand, excluded, candidates: usable, full, waitedMs,
		};
		const engine = this.options.placement.choose(query, now);
		return engine === undefined || full.has(engine) ? undefined : this.createSlot(query, engine);
	}

	private hasCapacity(engine: EngineMonitor): boolean {
		const {engineBacklogMs, prefillTokensPerMs, clock} = this.options;
		// The load report doesn't include requests that other instances have sent since. Those are estimated from this instance's own requests.
		const unreportedFactor = Math.sqrt(this.options.countInstances());
		const load = engine.estimateLoad(clock.readMonotonic(), prefillTokensPerMs, unreportedFactor);
		return (load.pendingPrefillTokens / prefillTokensPerMs) + load.slotWaitMs < engineBacklogMs;
	}

	private createSlot(query: PlacementQuery, engine: EngineMonitor): EngineSlot {
		const {clock, placement} = this.options;
		const now = clock.readMonotonic();
		const scope = formatQueryScope(query);
		const cachedTokens = engine.countCached(query.blocks, scope, now) * pieceTokens;
		placedPromptTokens.inc(query.promptTokens);
		placedCachedTokens.inc(cachedTokens);
		const ownRequest = engine.beginRequest(query.promptTokens - cachedTokens, now);
		engine.recordSent(query.blocks, scope, now);
		placement.recordSent(query, engine, now);
		let hasFirstChunk = false;
		return {
			engine,
			incarnation: engine.readState(now)?.incarnation,
			recordFirstChunk: () => {
				if (!hasFirstChunk) {
					hasFirstChunk = true;
					ownRequest.recordFirstChunk(clock.readMonotonic());
					this.drainQueues();
				}
			},
			release: () => {
				ownRequest.recordEnd(clock.readMonotonic());
				this.drainQueues();
			},
		};
	}
}

/** Creates the error that ends the task of a disconnected caller's request. It reaches no caller. */
function createDisconnectedError(): RouterError {
	return createRouterError('requestTimeout', 'the caller closed the connection');
}
