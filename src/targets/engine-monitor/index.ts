/**
 * Follows one engine: polls its state, follows its cache events, and counts this router's own
 * requests at once on top of the load report, which lags.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {BlockKey, MonotonicMs} from '../../identity/ids/index.js';
import type {ResolvedModel, ResolvedTarget} from '../../configuration/configuration/index.js';
import {createStream} from '../../streams/create-stream/index.js';
import {CacheIndex, type BlockScope} from '../cache-index/index.js';
import type {EngineClient, EngineState} from '../engine-client/index.js';
import {LeavingTargets} from '../leaving-targets/index.js';
import {OwnLoad, type EstimatedLoad, type OwnRequest} from '../own-load/index.js';

/** Interval of state polls. A load report older than this mostly describes requests that have ended. */
const pollIntervalMs = 250;
/** Age of the last good poll beyond which an engine counts as down. */
const staleAfterMs = 2500;
/** Pause before the event stream is opened again; bounds the rate of snapshots when events are lost. */
const eventRetryMs = 100;

const noLoad = {
	running: 0, waiting: 0, slots: 1, pendingPrefillTokens: 0, ageMs: 0,
} as const;

/** What is known of one engine. */
export class EngineMonitor {
	/** The target's resource in force. */
	target: ResolvedTarget;
	/** Whether the engine has answered or failed to answer for its state at least once. */
	hasBeenAsked = false;
	readonly cache = new CacheIndex();
	private readonly ownLoad = new OwnLoad();
	private state: EngineState | undefined;
	private readAt = Number.NEGATIVE_INFINITY;
	/** Moment that the load report describes. */
	private describedAt = Number.NEGATIVE_INFINITY;
	private readonly controller = new AbortController();

	constructor(
		target: ResolvedTarget,
		readonly client: EngineClient,
		private readonly clock: Clock,
		private readonly logger: EventLogger,
		private readonly leaving: LeavingTargets = new LeavingTargets(clock),
	) {
		this.target = target;
	}

	/** Polls and follows cache events until `stop`. */
	async run(): Promise<void> {
		await Promise.all([this.pollState(), this.followCache()]);
	}

	async stop(): Promise<void> {
		this.controller.abort();
		await this.client.close();
	}

	/** The last state read, unless it is too old at `now`. */
	readState(now: MonotonicMs): EngineState | undefined {
		return now - this.readAt > staleAfterMs ? undefined : this.state;
	}

	/** Requests of this router now at the engine. */
	get ownInFlight(): number {
		return this.ownLoad.countInFlight();
	}

	/** The weights version that the engine serves for `model`; nothing when it may get no new work. */
	findReadyVersion(model: ResolvedModel, now: MonotonicMs): string | undefined {
		const state = this.readState(now);
		if (state === undefined || state.isLeaving || this.target.state === 'leaving' || this.leaving.has(this.target.address)) {
			return undefined;
		}

		return state.models.find(held => held.state === 'ready' && held.base === model.base && held.adapter === model.adapter)?.weightsVersion;
	}

	/** Whether the engine may get new work for `model`, at its weights version, at `now`. */
	canServe(model: ResolvedModel, now: MonotonicMs): boolean {
		return this.findReadyVersion(model, now) === model.weightsVersion;
	}

	/** Notes that a call failed in a way that shows the engine down, until the next good poll. */
	markFailed(): void {
		this.readAt = Number.NEGATIVE_INFINITY;
	}

	/** Takes over a state that was asked for at `sentAt`. */
	applyState(state: EngineState, sentAt: MonotonicMs): void {
		const previous = this.state;
		if (previous !== undefined && previous.incarnation !== state.incarnation) {
			this.leaving.clear(this.target.address);
			this.logger.info('engine restarted', {target: this.target.id, incarnation: state.incarnation});
		}

		// New weights empty the engine's cache, and the event that says so may be late or lost.
		if (previous?.incarnation !== state.incarnation || formatReady(previous) !== formatReady(state)) {
			this.cache.reset(state.incarnation);
		}

		this.state = state;
		this.readAt = sentAt;
		this.describedAt = sentAt - state.load.ageMs;
		this.ownLoad.prune(this.describedAt);
	}

	/** Estimates the load at `now`; own requests that the report cannot contain yet count `unreportedFactor` times. */
	estimateLoad(now: MonotonicMs, prefillTokensPerMs: number, unreportedFactor = 1): EstimatedLoad {
		const load = this.state?.load ?? noLoad;
		return this.ownLoad.estimate(load, this.describedAt, now, {prefillTokensPerMs, unreportedFactor});
	}

	/** Counts a request that is about to be sent. */
	beginRequest(missingTokens: number, now: MonotonicMs): OwnRequest {
		return this.ownLoad.beginRequest(missingTokens, now);
	}

	/** Counts the leading blocks that the engine's present incarnation holds. */
	countCached(blocks: readonly BlockKey[], scope: string, now: MonotonicMs): number {
		const blockScope = this.createScope(scope);
		return blockScope === undefined ? 0 : this.cache.countPrefix(blocks, blockScope, now);
	}

	/** Notes that a request with `blocks` was sent. */
	noteSent(blocks: readonly BlockKey[], scope: string, now: MonotonicMs): void {
		const blockScope = this.createScope(scope);
		if (blockScope !== undefined) {
			this.cache.noteSent(blocks, blockScope, now);
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
				// An unreachable engine ages out of `readState`.
			}

			this.hasBeenAsked = true;

			await this.clock.sleep(pollIntervalMs, this.controller.signal);
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
					.takeWhile(event => this.cache.applyEvent(event) !== 'inDoubt')
					.until(stopped)
					.drain();
				this.logger.info('cache index in doubt', {target: this.target.id, gaps: this.cache.gapCount});
			} catch {
				// The stream broke; it continues after the last event that was applied.
			}

			await this.clock.sleep(eventRetryMs, signal);
		}
	}

	private async synchroniseCache(): Promise<void> {
		if (this.cache.needsSnapshot && !this.cache.applySnapshot(await this.client.readBlocks())) {
			this.logger.info('snapshot of another incarnation ignored', {target: this.target.id});
		}
	}
}

function formatReady(state: EngineState): string {
	const ready = state.models.filter(model => model.state === 'ready').map(model => JSON.stringify([model.base, model.adapter, model.weightsVersion]));
	return ready.toSorted((a, b) => a.localeCompare(b)).join('\n');
}
