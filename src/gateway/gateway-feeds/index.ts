/**
 * What the gateway follows in the object API: configuration, targets and named weights. While the object
 * API does not serve this instance, other instances that it still serves pass their newer copies on.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {
	InstanceId, MonotonicMs, ResourceVersion, Revision,
} from '../../identity/ids/index.js';
import type {TargetDescription} from '../../fleet/fleet-target/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import type {PeerCaller, PeerMethodRegistry} from '../../peers/peer-caller/index.js';
import {CollectionMirror} from '../../store/collection-mirror/index.js';
import type {StoredObject} from '../../store/object-api/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import type {RoutingConfiguration} from '../../routing/routing-types/index.js';
import type {WeightsNotice, PlatformAdapter} from '../platform-adapter/index.js';

/** JSON-RPC method that returns collections newer than the caller's. */
export const readFeedsMethod = 'feeds.read';
const relayTimeoutMs = 400;
/** Interval of the checks whether other instances have newer copies, in milliseconds. */
const relayIntervalMs = 300;
/** Silence of the object API after which other instances are asked, in milliseconds; longer than a watch waits. */
const watchQuietMs = 4500;
/** Silence after which a watch is replaced, in milliseconds. */
const watchSilenceMs = 5000;
/** Time after an interruption for which targets missing from the list stay known, in milliseconds. Live ones are entered again by then. */
const returnGraceMs = 2100;

/** What the feeds need. */
export type GatewayFeedsOptions = {
	readonly adapter: PlatformAdapter;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	readonly caller: PeerCaller;
	readonly registry: PeerMethodRegistry;
	readonly listPeers: () => readonly Member[];
	readonly onConfiguration: (configuration: RoutingConfiguration) => void;
	readonly onTargets: (targets: readonly TargetDescription[]) => void;
	readonly onWeights: (weights: WeightsNotice) => void;
};

type CollectionCopy = {readonly collection: string; readonly version: string; readonly objects: readonly StoredObject[]};
type KnownVersions = Readonly<Record<string, string>>;

/** Followed collections. */
export class GatewayFeeds {
	private readonly mirrors = new Map<string, CollectionMirror>();
	private revision = -1 as Revision;
	/** Names of entries that could not be decoded, so that each is logged once. */
	private readonly invalidEntries = new Set<string>();
	/** Names of the targets that are kept although the list lacks them. */
	private readonly keptTargets = new Set<string>();
	private lastTargets = new Map<string, TargetDescription>();
	private interruptedUntil = 0;

	constructor(private readonly options: GatewayFeedsOptions) {
		const {configuration, targets, weights} = options.adapter.collections;
		this.addMirror(configuration, () => {
			this.applyConfiguration();
		});
		this.addMirror(targets, () => {
			this.applyTargets();
		});
		this.addMirror(weights, () => {
			this.applyWeights();
		});
		options.registry.register(readFeedsMethod, async parameters => this.listNewer(parameters as KnownVersions));
	}

	/** Revision of the configuration in force, -1 for none. */
	readRevision(): Revision {
		return this.revision;
	}

	/** Follows the collections until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const tasks = [...this.mirrors.values()].map(async mirror => mirror.run(signal));
		await Promise.all([...tasks, this.runRelay(signal)]);
	}

	dump(): unknown {
		const now = this.options.clock.readMonotonic();
		return [...this.mirrors].map(([collection, mirror]) => ({
			collection, version: mirror.readVersion(), objects: mirror.objects.size, broken: mirror.isBroken, heardMs: Math.round(now - mirror.readHeardAt()),
		}));
	}

	private addMirror(collection: string, onChange: () => void): void {
		const {adapter, clock, logger, random} = this.options;
		this.mirrors.set(collection, new CollectionMirror({
			objectApi: adapter.objectApi, collection, clock, logger, random, onChange, silenceMs: watchSilenceMs, relistsAfterFault: true,
		}));
	}

	private applyConfiguration(): void {
		const {adapter, logger, onConfiguration} = this.options;
		for (const object of this.mirrors.get(adapter.collections.configuration)!.objects.values()) {
			try {
				const configuration = adapter.decodeConfiguration(object);
				if (configuration.revision > this.revision) {
					this.revision = configuration.revision;
					logger.info('configuration applied', {revision: configuration.revision, objectVersion: object.resourceVersion});
					onConfiguration(configuration);
				}
			} catch (error) {
				logger.error('configuration refused', {object: object.name, reason: (error as Error).message});
			}
		}
	}

	private applyTargets(): void {
		const {adapter, clock, onTargets} = this.options;
		const mirror = this.mirrors.get(adapter.collections.targets)!;
		const now = clock.readMonotonic();
		const current = new Map<string, TargetDescription>();
		for (const object of mirror.objects.values()) {
			const description = this.decodeTarget(object);
			if (description !== undefined) {
				current.set(object.name, description);
			}
		}

		this.keepMissing(current, now);
		this.lastTargets = current;
		onTargets([...current.values()]);
	}

	/** Keeps targets for a moment that are missing after an interruption, since their entries may only have lapsed meanwhile. */
	private keepMissing(current: Map<string, TargetDescription>, now: MonotonicMs): void {
		for (const [name, description] of this.lastTargets) {
			if (current.has(name)) {
				this.keptTargets.delete(name);
				continue;
			}

			if (now < this.interruptedUntil && !description.isLeaving) {
				this.keptTargets.add(name);
				current.set(name, description);
			}
		}
	}

	private decodeTarget(object: StoredObject): TargetDescription | undefined {
		const description = this.options.adapter.decodeTarget(object);
		if (description === undefined && !this.invalidEntries.has(object.name)) {
			this.invalidEntries.add(object.name);
			this.options.logger.warn('target entry ignored', {entry: object.name, reason: 'fields are missing or not valid'});
		}

		return description;
	}

	private applyWeights(): void {
		const {adapter, logger, onWeights} = this.options;
		for (const object of this.mirrors.get(adapter.collections.weights)!.objects.values()) {
			const weights = adapter.decodeWeights(object);
			if (weights === undefined) {
				logger.warn('named weights ignored', {object: object.name, reason: 'fields are missing or not valid'});
			} else {
				onWeights(weights);
			}
		}
	}

	private async runRelay(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.options;
		while (!signal.aborted) {
			await clock.sleep(random.spreadPause(relayIntervalMs), signal);
			const now = clock.readMonotonic();
			this.noteInterruption(now);
			const peer = this.choosePeer(now);
			if (peer !== undefined && !signal.aborted) {
				await this.fetchFrom(peer.id);
			}
		}
	}

	/** Extends the time for which missing targets are kept, and ends it. */
	private noteInterruption(now: MonotonicMs): void {
		const wasInterrupted = now < this.interruptedUntil;
		if (this.isInterrupted(now)) {
			this.interruptedUntil = now + returnGraceMs;
		} else if (!wasInterrupted && this.keptTargets.size > 0) {
			this.keptTargets.clear();
			this.applyTargets();
		}
	}

	private isInterrupted(now: MonotonicMs): boolean {
		return [...this.mirrors.values()].some(mirror => mirror.isBroken || now - mirror.readHeardAt() > watchQuietMs);
	}

	/** An instance that has a later configuration, or any while the object API does not serve this one. */
	private choosePeer(now: MonotonicMs): Member | undefined {
		const peers = this.options.listPeers();
		const ahead = peers.filter(peer => peer.revision > this.revision);
		const candidates = ahead.length > 0 ? ahead : (this.isInterrupted(now) ? peers : []);
		return this.options.random.pickSome(candidates, 1)[0];
	}

	private async fetchFrom(peer: InstanceId): Promise<void> {
		const known = Object.fromEntries([...this.mirrors].map(([collection, mirror]) => [collection, mirror.readVersion() ?? '']));
		try {
			for (const {collection, version, objects} of await this.options.caller.call<CollectionCopy[]>(peer, readFeedsMethod, known, relayTimeoutMs)) {
				const mirror = this.mirrors.get(collection);
				if (mirror !== undefined && isLater(version, mirror.readVersion())) {
					this.options.logger.info('collection taken over from peer', {collection, version, peer});
					mirror.adopt(objects, version as ResourceVersion);
				}
			}
		} catch (error) {
			this.options.logger.warn('peer did not pass collections on', {peer, reason: (error as Error).message});
		}
	}

	private listNewer(known: KnownVersions): CollectionCopy[] {
		const newer: CollectionCopy[] = [];
		for (const [collection, mirror] of this.mirrors) {
			const version = mirror.readVersion();
			if (version !== undefined && isLater(version, known[collection])) {
				newer.push({collection, version, objects: [...mirror.objects.values()]});
			}
		}

		return newer;
	}
}

/** Versions of one object API are numbers in the order of its changes. */
function isLater(version: string, other: string | undefined): boolean {
	return other === undefined || other === '' || Number(version) > Number(other);
}
