/**
 * Replays a trace against a placement strategy in simulated time. Simulates several routers without
 * shared state, engines that have a bounded prefix cache and prefill one prompt at a time, and delayed
 * load reports and cache events. Uses no processes and no network, so the outcome depends on the seed alone.
 */

import createXxhash from 'xxhash-wasm';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {SystemClock} from '../../clock/clock/index.js';
import type {ResolvedModel, ResolvedTarget} from '../../configuration/configuration/index.js';
import type {
	BlockKey, DataCentreId, Incarnation, MonotonicMs, OrganisationId, TargetId,
} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {createPlacement, type PlacementStrategy} from '../../placement/create-placement/index.js';
import {bytesPerToken, pieceBytes} from '../../placement/hash-prompt/index.js';
import {formatQueryScope, type Placement, type PlacementQuery} from '../../placement/placement/index.js';
import {EngineCache} from '../../standin/engine-cache/index.js';
import type {EngineClient, EngineState} from '../../targets/engine-client/index.js';
import {EngineMonitor} from '../../targets/engine-monitor/index.js';
import {countPromptTokens, type TraceRequest} from '../generate-trace/index.js';

/** Size of the simulated fleet. Times are in milliseconds. */
export type ReplayOptions = {
	readonly strategy: PlacementStrategy;
	readonly engines: number;
	readonly routers: number;
	readonly cacheBlocks: number;
	readonly prefillTokensPerMs: number;
	readonly hashedPieces: number;
	readonly reportIntervalMs: number;
	readonly eventLagMs: number;
	readonly seed: number;
};

/** Outcome of a replay. */
export type ReplayOutcome = {
	/** Cached share of all prompt tokens. */
	readonly hitRate: number;
	readonly recomputedTokens: number;
	/** Time to first token of each request, in the order of the trace. */
	readonly firstTokenMs: readonly number[];
	/** Index of the engine of each request, in the order of the trace. */
	readonly engines: readonly number[];
};

const tokensPerPiece = pieceBytes / bytesPerToken;
const decodeMsPerToken = 4;
const slotsPerEngine = 32;
const {h64ToString} = await createXxhash();

const model = {
	id: 'assistant', name: 'assistant', fleets: [], base: 'base', weightsVersion: 'v1', deterministic: false,
} as unknown as ResolvedModel;

/** Returns one key per piece. Two keys are equal if and only if all pieces up to them are equal. */
export function createBlockKeys(request: Pick<TraceRequest, 'pieces'>): BlockKey[] {
	let chain = '';
	return request.pieces.map(piece => {
		chain = h64ToString(`${chain}:${piece}`);
		return chain as BlockKey;
	});
}

type Task = {readonly at: number; run(): void};

/** Queue of tasks, ordered by simulated time. */
class TaskQueue {
	private readonly tasks: Task[] = [];

	add(at: number, run: () => void): void {
		let low = 0;
		let high = this.tasks.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.tasks[middle]!.at <= at) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		this.tasks.splice(low, 0, {at, run});
	}

	/** Runs all tasks that are due by `now`. */
	runUntil(now: number): void {
		while (this.tasks[0] !== undefined && this.tasks[0].at <= now) {
			this.tasks.shift()!.run();
		}
	}
}

class ReplayEngine {
	readonly cache: EngineCache;
	readonly incarnation: Incarnation;
	private busyUntilMs = 0;
	private readonly endTimesMs: number[] = [];

	constructor(index: number, private readonly options: ReplayOptions) {
		this.incarnation = `engine-${index}` as Incarnation;
		this.cache = new EngineCache(this.incarnation, options.cacheBlocks);
	}

	/** Time at which the prefill of all accepted prompts ends. */
	get prefillEndAt(): number {
		return this.busyUntilMs;
	}

	acceptRequest(blocks: readonly BlockKey[], request: TraceRequest): {cachedTokens: number; endAt: number} {
		const cachedTokens = this.cache.matchPrefix(blocks) * tokensPerPiece;
		this.busyUntilMs = Math.max(this.busyUntilMs, request.atMs) + ((countPromptTokens(request) - cachedTokens) / this.options.prefillTokensPerMs);
		this.cache.store(blocks);
		const endAt = this.busyUntilMs + (request.maximumTokens * decodeMsPerToken);
		this.endTimesMs.push(endAt);
		return {cachedTokens, endAt};
	}

	readState(now: number): EngineState {
		while (this.endTimesMs[0] !== undefined && this.endTimesMs[0] <= now) {
			this.endTimesMs.shift();
		}

		const pendingPrefillTokens = Math.max(0, this.busyUntilMs - now) * this.options.prefillTokensPerMs;
		return {
			incarnation: this.incarnation, role: 'mixed', isLeaving: false, models: [{base: 'base', weightsVersion: 'v1', state: 'ready'}],
			load: {
				running: Math.min(slotsPerEngine, this.endTimesMs.length), waiting: Math.max(0, this.endTimesMs.length - slotsPerEngine), slots: slotsPerEngine,
				pendingPrefillTokens, ageMs: 0,
			},
		};
	}
}

type Router = {readonly placement: Placement; readonly monitors: readonly EngineMonitor[]};

/** Replays `trace`. */
export function replayTrace(trace: readonly TraceRequest[], options: ReplayOptions): ReplayOutcome {
	const tasks = new TaskQueue();
	const engines = Array.from({length: options.engines}, (_, index) => new ReplayEngine(index, options));
	const routers = Array.from({length: options.routers}, (_, index) => createRouter(engines, options, index));
	for (const [index, engine] of engines.entries()) {
		scheduleEngineUpdates(engine, routers.map(router => router.monitors[index]!), tasks, options);
	}

	let totalCachedTokens = 0;
	let totalPromptTokens = 0;
	const firstTokenMs: number[] = [];
	const chosenEngines: number[] = [];
	for (const request of trace) {
		tasks.runUntil(request.atMs);
		const router = routers[Math.floor(request.entry * routers.length)]!;
		const {index, cachedTokens} = placeRequest(request, router, engines, tasks);
		totalCachedTokens += cachedTokens;
		totalPromptTokens += countPromptTokens(request);
		chosenEngines.push(index);
		firstTokenMs.push(engines[index]!.prefillEndAt - request.atMs);
	}

	return {
		hitRate: totalCachedTokens / totalPromptTokens, recomputedTokens: totalPromptTokens - totalCachedTokens, firstTokenMs, engines: chosenEngines,
	};
}

function placeRequest(request: TraceRequest, router: Router, engines: readonly ReplayEngine[], tasks: TaskQueue) {
	const now = request.atMs as MonotonicMs;
	const blocks = createBlockKeys(request);
	const query: PlacementQuery = {
		model, organisation: request.organisation as OrganisationId, blocks, promptTokens: countPromptTokens(request),
		candidates: router.monitors, excluded: new Set(),
	};
	const monitor = router.placement.choose(query, now)!;
	const expectedCachedBlocks = monitor.countCached(blocks, formatQueryScope(query), now);
	monitor.recordSent(blocks, formatQueryScope(query), now);
	router.placement.recordSent(query, monitor, now);
	const trackedRequest = monitor.beginRequest(query.promptTokens - (expectedCachedBlocks * tokensPerPiece), now);
	const index = router.monitors.indexOf(monitor);
	const engine = engines[index]!;
	const {cachedTokens, endAt} = engine.acceptRequest(blocks, request);
	const firstAt = engine.prefillEndAt as MonotonicMs;
	tasks.add(firstAt, () => {
		trackedRequest.recordFirstChunk(firstAt);
	});
	tasks.add(endAt, () => {
		trackedRequest.recordEnd(endAt as MonotonicMs);
	});
	return {index, cachedTokens};
}

function createRouter(engines: readonly ReplayEngine[], options: ReplayOptions, index: number): Router {
	const generator = xoroshiro128plus(options.seed + index);
	const random = () => uniformFloat64(generator);
	const clock = new SystemClock();
	const monitors = engines.map((engine, engineIndex) => {
		const target: Partial<ResolvedTarget> = {id: `worker-${engineIndex}` as TargetId, dataCentre: 'a' as DataCentreId, state: 'live'};
		const monitor = new EngineMonitor(target as ResolvedTarget, {} as unknown as EngineClient, clock, quietLogger);
		monitor.applyState(engine.readState(0), 0 as MonotonicMs);
		monitor.cache.applySnapshot(engine.cache.readSnapshot());
		return monitor;
	});
	const placement = createPlacement(options.strategy, {
		...options, distanceMs: 1, dataCentre: 'a', random,
	});
	return {placement, monitors};
}

/** Schedules the delivery of an engine's periodic load reports and delayed cache events to the routers' monitors. */
function scheduleEngineUpdates(engine: ReplayEngine, monitors: readonly EngineMonitor[], tasks: TaskQueue, options: ReplayOptions): void {
	engine.cache.subscribe(0, event => {
		tasks.add(engine.prefillEndAt + options.eventLagMs, () => {
			for (const monitor of monitors) {
				monitor.cache.applyEvent(event);
			}
		});
	});
	const report = (at: number) => {
		const state = engine.readState(at);
		for (const monitor of monitors) {
			monitor.applyState(state, at as MonotonicMs);
		}

		tasks.add(at + options.reportIntervalMs, () => {
			report(at + options.reportIntervalMs);
		});
	};

	report(0);
}
