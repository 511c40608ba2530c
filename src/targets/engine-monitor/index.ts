/**
 * Monitors one engine: polls its state, follows its cache events and adds this router's own requests
 * to the load report, which lags.
 */

import {setMaxListeners} from 'node:events';
import type {Clock} from '../../clock/clock/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {BlockKey, MonotonicMs, RequestId} from '../../identity/ids/index.js';
import type {ResolvedModel, ResolvedTarget} from '../../configuration/configuration/index.js';
import {calculateBackoff} from '../../requests/calculate-backoff/index.js';
import {createStream} from '../../streams/create-stream/index.js';
import {CacheIndex, type BlockScope} from '../cache-index/index.js';
import type {EngineClient, EngineState} from '../engine-client/index.js';
import {LeavingTargets} from '../leaving-targets/index.js';
import {OwnLoad, type EstimatedLoad, type OwnRequest} from '../own-load/index.js';

/** Interval between state polls. A load report older than this mostly describes requests that have ended. */
const statePollIntervalMs = 250;
/** Age of the last successful poll above which an engine counts as down. */
const staleAfterMs = 2500;
/** Delay before the event stream is reopened. Limits the rate of snapshot reads when events are lost. */
const eventRetryDelayMs = 100;
/** Interval at which a retired monitor checks whether its requests have ended. */
const retirementCheckIntervalMs = 250;
/** Step of the backoff at which repeated cancellations begin, with a pause of up to 160 ms. */
const firstCancellationBackoff = 4;

const noLoad = {
	running: 0, waiting: 0, slots: 1, pendingPrefillTokens: 0, ageMs: 0,
} as const;

/** Monitor of one engine's state, cache and load. */
export class EngineMonitor {
	/** The target in the current configuration. */
	target: ResolvedTarget;
	/** Whether the engine's state has been polled at least once, successfully or not. */
	hasBeenPolled = false;
	readonly cache = new CacheIndex();
	private readonly ownLoad = new OwnLoad();
	private state: EngineState | undefined;
	/** Time at which the last successful poll was sent. */
	private lastPollAt = Number.NEGATIVE_INFINITY;
	/** Time at which the engine measured the reported load. */
	private loadMeasuredAt = Number.NEGATIVE_INFINITY;
	/** Number of runs that the engine has not yet been told to stop. */
	private pendingCancellations = 0;
	/** Ends the polls. */
	private readonly controller = new AbortController();
	/** Aborts when the connections are closed whether or not requests use them. */
	private readonly stopController = new AbortController();

	constructor(
		target: ResolvedTarget,
		readonly client: EngineClient,
		private readonly clock: Clock,
		private readonly logger: EventLogger,
		private readonly leaving: LeavingTargets = new LeavingTargets(clock),
	) {
		this.target = target;
		// Each cancellation that waits for its repeat listens to this signal.
		setMaxListeners(0, this.stopController.signal);
	}

	/** Polls the state and follows cache events until `retire` or `stop`. */
	async run(): Promise<void> {
		await Promise.all([this.pollState(), this.followCache()]);
	}

	/** Asks the engine to stop a run. While the engine is out of reach, this is repeated for up to `patienceMs`. */
	async cancelRun(requestId: RequestId, patienceMs: number): Promise<void> {
		const {signal} = this.stopController;
		const startedAt = this.clock.readMonotonic();
		let isSettled = false;
		this.pendingCancellations += 1;
		for (let backoff = firstCancellationBackoff; !isSettled && !signal.aborted; backoff += 1) {
			try {
				await this.client.cancel(requestId);
				isSettled = true;
			} catch {
				isSettled = this.clock.readMonotonic() - startedAt > patienceMs;
				await this.clock.sleep(calculateBackoff(backoff, Math.random()), signal);
			}
		}

		this.pendingCancellations -= 1;
	}

	/** Ends the polls, and closes the connections once this router's requests at the engine have ended. */
	async retire(): Promise<void> {
		const {signal} = this.stopController;
		this.controller.abort();
		while (this.ownInFlight + this.pendingCancellations > 0 && !signal.aborted) {
			await this.clock.sleep(retirementCheckIntervalMs, signal);
		}

		if (!signal.aborted) {
			await this.client.drain();
		}
	}

	/** Ends the polls and closes the connections at once, which breaks the requests in flight. */
	async stop(): Promise<void> {
		this.controller.abort();
		this.stopController.abort();
		await this.client.close();
	}

	/** Returns the last state, or undefined if it is stale at `now`. */
	readState(now: MonotonicMs): EngineState | undefined {
		return now - this.lastPollAt > staleAfterMs ? undefined : this.state;
	}

	/** Number of this router's requests in flight at the engine. */
	get ownInFlight(): number {
		return this.ownLoad.countInFlight();
	}

	/** Returns the weights version that the engine has ready for `model`, or undefined if it must not get new requests. */
	findReadyVersion(model: ResolvedModel, now: MonotonicMs): string | undefined {
		const state = this.readState(now);
		if (state === undefined || state.isLeaving || this.target.state === 'leaving' || this.leaving.has(this.target.address)) {
			return undefined;
		}

		return state.models.find(weights => weights.state === 'ready' && weights.base === model.base && weights.adapter === model.adapter)?.weightsVersion;
	}

	/** Whether the engine may get new requests for `model` with its weights version at `now`. */
	canServe(model: ResolvedModel, now: MonotonicMs): boolean {
		return this.findReadyVersion(model, now) === model.weightsVersion;
	}

	/** Marks the engine as down until the next successful poll, after a call failed in a way that indicates this. */
	markFailed(): void {
		this.lastPollAt = Number.NEGATIVE_INFINITY;
	}

	/** Applies a state that was requested at `sentAt`. */
	applyState(state: EngineState, sentAt: MonotonicMs): void {
		const previous = this.state;
		if (previous !== undefined && previous.incarnation !== state.incarnation) {
			this.leaving.clear(this.target.address);
			this.logger.info('engine restarted', {target: this.target.id, incarnation: state.incarnation});
		}

		// New weights clear the engine's cache, and the event that reports this may be delayed or lost.
		if (previous?.incarnation !== state.incarnation || formatReadyModels(previous) !== formatReadyModels(state)) {
			this.cache.reset(state.incarnation);
		}

		this.state = state;
		this.lastPollAt = sentAt;
		this.loadMeasuredAt = sentAt - state.load.ageMs;
		this.ownLoad.prune(this.loadMeasuredAt);
	}

	/** Estimates the load at `now`. Own requests that the report cannot yet contain count `unreportedFactor` times. */
	estimateLoad(now: MonotonicMs, prefillTokensPerMs: number, unreportedFactor = 1): EstimatedLoad {
		const load = this.state?.load ?? noLoad;
		return this.ownLoad.estimate(load, this.loadMeasuredAt, now, {prefillTokensPerMs, unreportedFactor});
	}

	/** Starts to count a request that is about to be sent. */
	beginRequest(missingTokens: number, now: MonotonicMs): OwnRequest {
		return this.ownLoad.beginRequest(missingTokens, now);
	}

	/** Counts the leading blocks that the engine's current incarnation has cached. */
	countCached(blocks: readonly BlockKey[], scope: string, now: MonotonicMs): number {
		const blockScope = this.createScope(scope);
		return blockScope === undefined ? 0 : this.cache.countPrefix(blocks, blockScope, now);
	}

	/** Records that a request with `blocks` was sent. */
	recordSent(blocks: readonly BlockKey[], scope: string, now: MonotonicMs): void {
		const blockScope = this.createScope(scope);
		if (blockScope !== undefined) {
			this.cache.recordSent(blocks, blockScope, now);
		}
	}

	private createScope(scope: string): BlockScope | undefined {
		return this.state === undefined ? undefined : {incarnation: this.state.incarnation, scope};
	}

	private async pollState(): Promise<void> {
		while (!this.controller.signal.aborted) {
			const sentAt = this.clock.readMonotonic();
			try {
				this.applyState(await this.client.readState(), sentAt);
			} catch {
				// The last state of an unreachable engine becomes stale.
			}

			this.hasBeenPolled = true;

			await this.clock.sleep(statePollIntervalMs, this.controller.signal);
		}
	}

	private async followCache(): Promise<void> {
		const {signal} = this.controller;
		const stopped = createStream<void>(subscriber => {
			const emit = () => {
				subscriber.next();
			};

			signal.addEventListener('abort', emit, {once: true});
			return () => {
				signal.removeEventListener('abort', emit);
			};
		});
		while (!signal.aborted) {
			try {
				await this.synchroniseCache();
				await this.client.watchCacheEvents(this.cache.lastSequence)
					.takeWhile(event => this.cache.applyEvent(event) !== 'outOfSync')
					.until(stopped)
					.drain();
				this.logger.info('cache index in doubt', {target: this.target.id, gaps: this.cache.missedEventCount});
			} catch {
				// The stream broke. It is reopened after the last applied event.
			}

			await this.clock.sleep(eventRetryDelayMs, signal);
		}
	}

	private async synchroniseCache(): Promise<void> {
		if (this.cache.needsSnapshot && !this.cache.applySnapshot(await this.client.readBlocks())) {
			this.logger.info('snapshot of another incarnation ignored', {target: this.target.id});
		}
	}
}

function formatReadyModels(state: EngineState): string {
	const ready = state.models.filter(model => model.state === 'ready').map(model => JSON.stringify([model.base, model.adapter, model.weightsVersion]));
	return ready.toSorted((a, b) => a.localeCompare(b)).join('\n');
}
