/**
 * The way of a request to an engine: it is placed at once while the engine that suits it best has
 * room, and waits in the fair queue of its model otherwise. A slot counts from the choice to its release.
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

/** Options of `EngineGate`. Times are in milliseconds. */
export type EngineGateOptions = {
	readonly clock: Clock;
	readonly placement: Placement;
	readonly prefillTokensPerMs: number;
	/** Prefill work at an engine above which it counts as full. */
	readonly engineBacklogMs: number;
	readonly queueWaitMs: number;
	readonly queuedRequests: number;
	/** Entry instances that send to the same engines, this one included. */
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
	/** Aborts when the caller has gone. */
	readonly signal: AbortSignal;
	/** Engines that may serve the request at the time of the call. */
	listCandidates(): readonly EngineMonitor[];
	/** Whether an engine that may turn out to serve the request has not been asked for its state yet. */
	isUndecided(): boolean;
};

/** An engine that was chosen for one request. */
export type EngineSlot = {
	readonly engine: EngineMonitor;
	/** Incarnation whose cache and load the choice relied on. */
	readonly incarnation: Incarnation | undefined;
	/** Notes that the first chunk has arrived. */
	noteFirstChunk(): void;
	/** Ends the request's claim on the engine. Later calls have no effect. */
	release(): void;
};

const pieceTokens = pieceBytes / bytesPerToken;
/** Interval at which waiting requests are tried again, since an engine's estimated load falls with time. */
const drainIntervalMs = 20;
const msPerSecond = 1000;

/** Admits requests to engines. */
export class EngineGate {
	private readonly queues = new Map<string, FairQueue>();
	private isDraining = false;

	constructor(private readonly options: EngineGateOptions) {}

	/** Chooses an engine, after waiting if all are full. Rejects with `noTarget` or `overloaded`; nothing was sent then. */
	async acquire(demand: EngineDemand): Promise<EngineSlot> {
		if (demand.signal.aborted) {
			throw createGone();
		}

		const queue = this.findQueue(demand.model);
		const slot = queue.length === 0 ? this.place(demand, 0) : undefined;
		return slot ?? this.wait(queue, demand);
	}

	private findQueue(model: ResolvedModel): FairQueue {
		const queue = this.queues.get(model.id) ?? new FairQueue({maximumEntries: this.options.queuedRequests});
		this.queues.set(model.id, queue);
		return queue;
	}

	private async wait(queue: FairQueue, demand: EngineDemand): Promise<EngineSlot> {
		const since = this.options.clock.readMonotonic();
		return new Promise((resolve, reject) => {
			const refuse = (error: RouterError) => {
				queueRefusals.inc({organisation: demand.organisation});
				reject(error);
			};

			const entry: QueueEntry = {
				organisation: demand.organisation,
				weight: demand.weight,
				costTokens: demand.promptTokens + demand.maximumTokens,
				deadline: since + this.options.queueWaitMs as typeof since,
				start: () => this.startEntry(demand, since, resolve, reject),
				refuse,
			};
			try {
				const remove = queue.enqueue(entry, since);
				demand.signal.addEventListener('abort', () => {
					remove();
					reject(createGone());
				}, {once: true});
			} catch (error) {
				refuse(error as RouterError);
			}

			void this.runDrain();
		});
	}

	private startEntry(demand: EngineDemand, since: number, resolve: (slot: EngineSlot) => void, reject: (error: unknown) => void): boolean {
		try {
			const slot = this.place(demand, this.options.clock.readMonotonic() - since);
			if (slot === undefined) {
				return false;
			}

			queueWaitSeconds.observe({organisation: demand.organisation}, (this.options.clock.readMonotonic() - since) / msPerSecond);
			resolve(slot);
		} catch (error) {
			reject(error);
		}

		return true;
	}

	/** Tries waiting requests until none is left. */
	private async runDrain(): Promise<void> {
		if (this.isDraining) {
			return;
		}

		this.isDraining = true;
		while (this.drainQueues() > 0) {
			await this.options.clock.sleep(drainIntervalMs);
		}

		this.isDraining = false;
	}

	/** Returns the number of requests that still wait. */
	private drainQueues(): number {
		let waiting = 0;
		for (const queue of this.queues.values()) {
			queue.drain(this.options.clock.readMonotonic());
			waiting += queue.length;
		}

		queueLength.set(waiting);
		return waiting;
	}

	/** Places a request; returns nothing when the engine that suits it best is full. */
	private place(demand: EngineDemand, waitedMs: number): EngineSlot | undefined {
		const now = this.options.clock.readMonotonic();
		const candidates = demand.listCandidates();
		if (candidates.length === 0 && demand.isUndecided()) {
			return undefined;
		}

		if (candidates.length === 0) {
			throw createRouterError('noTarget', `model ${demand.model.id}`);
		}

		// An engine that failed this request once is better than none.
		const excluded = candidates.every(engine => demand.excluded.has(engine.target.id)) ? new Set<TargetId>() : demand.excluded;
		const usable = candidates.filter(engine => !excluded.has(engine.target.id));
		const full = new Set(usable.filter(engine => !this.hasRoom(engine)));
		if (full.size === usable.length) {
			return undefined;
		}

		const query: PlacementQuery = {
			...demand, excluded, candidates: usable, full, waitedMs,
		};
		const engine = this.options.placement.choose(query, now);
		return engine === undefined || full.has(engine) ? undefined : this.createSlot(query, engine);
	}

	private hasRoom(engine: EngineMonitor): boolean {
		const {engineBacklogMs, prefillTokensPerMs, clock} = this.options;
		// The report does not show what other instances sent since it was made; this instance's own requests are a sample of that.
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
		const own = engine.beginRequest(query.promptTokens - cachedTokens, now);
		engine.noteSent(query.blocks, scope, now);
		placement.noteSent(query, engine, now);
		let hasFirstChunk = false;
		return {
			engine,
			incarnation: engine.readState(now)?.incarnation,
			noteFirstChunk: () => {
				if (!hasFirstChunk) {
					hasFirstChunk = true;
					own.noteFirstChunk(clock.readMonotonic());
					this.drainQueues();
				}
			},
			release: () => {
				own.noteEnded(clock.readMonotonic());
				this.drainQueues();
			},
		};
	}
}

/** Nobody receives this error; it ends the request's task. */
function createGone(): RouterError {
	return createRouterError('requestTimeout', 'the caller closed the connection');
}
