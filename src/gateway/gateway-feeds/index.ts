/**
 * Follows the gateway's collections of the object API: configuration, targets, named weights, the
 * instance registry and quarantined prompt parts. The feed relay keeps a mirror of each collection up to date, from which changes are
 * applied.
 */

import {
	measureElapsedMs, readInstant, shiftBack, type Instant,
} from '../../clock/instant/index.js';
import type {MonotonicMs, ResourceVersion, Revision} from '../../identity/ids/index.js';
import type {TargetDescription} from '../../fleet/fleet-target/index.js';
import {CollectionMirror} from '../../store/collection-mirror/index.js';
import type {StoredObject} from '../../store/object-api/index.js';
import {parseVersion} from '../../store/object-version/index.js';
import {RevisionTimeline} from '../../store/revision-timeline/index.js';
import type {AnnouncementAge} from '../../rollout/weights-registry/index.js';
import type {RoutingConfiguration} from '../../routing/routing-types/index.js';
import type {WeightsNotice, PlatformAdapter} from '../platform-adapter/index.js';
import {FeedRelay, type FeedEnvironment} from '../feed-relay/index.js';
import {TargetRetention} from '../target-retention/index.js';

/** Time without events after which a watch is replaced, in milliseconds. */
const watchSilenceTimeoutMs = 5000;
/** Time after the first configuration for which calls wait for the stored quarantines and orders of software versions, in milliseconds. */
const restrictionWaitMs = 400;
const maximumLoggedTargets = 6;

/** Options of the gateway's feeds. */
export type GatewayFeedsOptions = FeedEnvironment & {
	readonly adapter: PlatformAdapter;
	readonly onConfiguration: (configuration: RoutingConfiguration) => void;
	readonly onTargets: (targets: readonly TargetDescription[]) => void;
	readonly onWeights: (weights: WeightsNotice, age: AnnouncementAge) => void;
	readonly onInstances: (instances: readonly StoredObject[]) => void;
	readonly onQuarantines: (quarantines: readonly StoredObject[], version: string | undefined) => void;
	/** Without it, orders of software versions are not followed. */
	readonly onRollouts?: ((rollouts: readonly StoredObject[], version: ResourceVersion) => void) | undefined;
};

/** Mirrors the platform's collections and applies their changes. */
export class GatewayFeeds {
	private readonly mirrors = new Map<string, CollectionMirror>();
	private readonly timeline = new RevisionTimeline();
	/** When the applied copy of the announced weights was last known to be up to date. */
	private weightsConfirmedAt: Instant | undefined;
	private readonly retention = new TargetRetention();
	private isInterrupted = false;
	/** Number of missing targets that are retained. */
	private retainedCount = 0;
	private revision = -1 as Revision;
	/** When the first configuration was applied. */
	private configuredAt: MonotonicMs | undefined;
	/** Names of target entries that could not be decoded, so that each is logged once. */
	private readonly invalidEntries = new Set<string>();
	private readonly changedCollections = new Set<string>();
	private readonly decodedTargets = new WeakMap<StoredObject, TargetDescription>();
	private readonly relay: FeedRelay;

	constructor(private readonly options: GatewayFeedsOptions) {
		const {configuration, targets, weights, instances, quarantines} = options.adapter.collections;
		this.addMirror(configuration, () => {
			this.applyConfiguration();
		});
		this.addMirror(targets, () => {
			this.applyTargets();
		});
		this.addMirror(weights, () => {
			this.applyWeights();
		});
		this.addMirror(instances, () => {
			options.onInstances([...this.mirrors.get(instances)!.objects.values()]);
		});
		this.addMirror(quarantines, () => {
			const mirror = this.mirrors.get(quarantines)!;
			options.onQuarantines([...mirror.objects.values()], mirror.readVersion());
		});
		this.followRollouts();
		this.relay = new FeedRelay({
			...options, mirrors: this.mirrors, timeline: this.timeline,
			readRevision: () => this.revision,
			onInterruptionCheck: (isInterrupted, now) => {
				this.handleInterruptionCheck(isInterrupted, now);
			},
		});
	}

	/** Returns the revision of the configuration in force; -1 if there is none. */
	readRevision(): Revision {
		return this.revision;
	}

	/** Whether calls may be served: there is a configuration, and what keeps calls from targets has been read or is late. */
	canServe(now: MonotonicMs): boolean {
		const {quarantines, rollouts} = this.options.adapter.collections;
		const isSynced = [quarantines, rollouts].every(collection => this.mirrors.get(collection)?.isSynced ?? true);
		return this.configuredAt !== undefined && (isSynced || now >= this.configuredAt + restrictionWaitMs);
	}

	/** Follows the collections until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await this.relay.run(signal);
	}

	dump(): unknown {
		const now = this.options.clock.readMonotonic();
		const collections = [...this.mirrors].map(([collection, mirror]) => ({
			collection, version: mirror.readVersion(), objects: mirror.objects.size, broken: mirror.isBroken, heardMs: Math.round(now - mirror.readHeardAt()),
		}));
		return {...this.relay.dump(), collections};
	}

	private followRollouts(): void {
		const {onRollouts, adapter: {collections: {rollouts}}} = this.options;
		if (onRollouts !== undefined) {
			this.addMirror(rollouts, () => {
				const mirror = this.mirrors.get(rollouts)!;
				onRollouts([...mirror.objects.values()], mirror.readVersion()!);
			});
		}
	}

	private addMirror(collection: string, onChange: () => void): void {
		const {adapter, clock, logger, random} = this.options;
		this.mirrors.set(collection, new CollectionMirror({
			objectApi: adapter.objectApi, collection, clock, logger, random, silenceMs: watchSilenceTimeoutMs, shouldRelistAfterFailure: true,
			onConfirmed: (version, ageMs) => {
				this.recordConfirmation(collection, version, shiftBack(readInstant(clock), ageMs));
			},
			onWatchReplaced: () => {
				this.relay.answerWaitingRequests();
			},
			onChange: () => {
				this.scheduleApply(collection, onChange);
			},
		}));
	}

	/** Records that the object API had `version` at `at`, in an answer about `collection`. */
	private recordConfirmation(collection: string, version: string, at: Instant): void {
		this.timeline.record(version, at);
		if (collection === this.options.adapter.collections.weights && !this.changedCollections.has(collection)) {
			this.weightsConfirmedAt = at;
		}
	}

	/** Schedules a collection to be applied, once for all changes that arrive together. */
	private scheduleApply(collection: string, apply: () => void): void {
		if (this.changedCollections.has(collection)) {
			return;
		}

		this.changedCollections.add(collection);
		queueMicrotask(() => {
			this.changedCollections.delete(collection);
			apply();
			this.relay.answerWaitingRequests();
		});
	}

	private handleInterruptionCheck(isInterrupted: boolean, now: MonotonicMs): void {
		const silenceMs = this.timeline.measureSilenceMs(readInstant(this.options.clock));
		if (isInterrupted !== this.isInterrupted) {
			this.isInterrupted = isInterrupted;
			this.options.logger.info(isInterrupted ? 'object API interrupted' : 'object API available', {answeredAgoMs: Math.round(silenceMs)});
		}

		if (this.retention.updateContact({isInterrupted, silenceMs}, now)) {
			this.applyTargets();
		}
	}

	private applyConfiguration(): void {
		const {adapter, clock, logger, onConfiguration} = this.options;
		for (const object of this.mirrors.get(adapter.collections.configuration)!.objects.values()) {
			try {
				const configuration = adapter.decodeConfiguration(object);
				if (configuration.revision > this.revision) {
					this.revision = configuration.revision;
					this.configuredAt ??= clock.readMonotonic();
					logger.info('configuration applied', {revision: configuration.revision, objectVersion: object.resourceVersion});
					onConfiguration(configuration);
				}
			} catch (error) {
				logger.error('configuration refused', {object: object.name, reason: (error as Error).message});
			}
		}
	}

	private applyTargets(): void {
		const {adapter, clock, logger, onTargets} = this.options;
		const listedTargets = new Map<string, TargetDescription>();
		const mirror = this.mirrors.get(adapter.collections.targets)!;
		for (const object of mirror.objects.values()) {
			const description = this.decodeTarget(object);
			if (description !== undefined) {
				listedTargets.set(object.name, description);
			}
		}

		const now = clock.readMonotonic();
		this.retention.recordEra(parseVersion(mirror.readVersion()!).era, now);
		const targets = this.retention.addRetainedTargets(listedTargets, now);
		const retained = [...targets.keys()].filter(name => !listedTargets.has(name));
		if (retained.length > this.retainedCount) {
			logger.info('missing targets retained', {targets: retained.slice(0, maximumLoggedTargets).join(','), count: retained.length});
		}

		this.retainedCount = retained.length;
		onTargets([...targets.values()]);
	}

	private decodeTarget(object: StoredObject): TargetDescription | undefined {
		const description = this.decodedTargets.get(object) ?? this.options.adapter.decodeTarget(object);
		if (description !== undefined) {
			this.decodedTargets.set(object, description);
		} else if (!this.invalidEntries.has(object.name)) {
			this.invalidEntries.add(object.name);
			this.options.logger.warn('target entry ignored', {entry: object.name, reason: 'fields are missing or not valid'});
		}

		return description;
	}

	private applyWeights(): void {
		const {adapter, clock, logger, onWeights} = this.options;
		for (const object of this.mirrors.get(adapter.collections.weights)!.objects.values()) {
			const weights = adapter.decodeWeights(object);
			if (weights === undefined) {
				logger.warn('named weights ignored', {object: object.name, reason: 'fields are missing or not valid'});
			} else {
				const now = readInstant(clock);
				onWeights(weights, {
					maximumMs: this.timeline.measureMaximumAgeMs(object.resourceVersion, now),
					maximumUnseenMs: this.weightsConfirmedAt && measureElapsedMs(this.weightsConfirmedAt, now),
				});
			}
		}
	}
}
