/** Watches the configuration head in the object API while this instance has the role of a watcher. */

import type {Clock} from '../../clock/clock/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {ContactMonitor} from '../../keys/contact-monitor/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {MemberView} from '../../membership/member/index.js';
import {CollectionMirror} from '../../store/collection-mirror/index.js';
import type {ObjectApi} from '../../store/object-api/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import {chooseWatchers} from '../choose-watchers/index.js';
import {
	configurationCollection, formatPartName, headName, headSchema, type ConfigurationHead,
} from '../configuration-head/index.js';
import type {ConfigurationMetrics} from '../configuration-metrics/index.js';
import type {PartCache} from '../part-cache/index.js';
import type {PartContent} from '../split-configuration/index.js';

const roleCheckIntervalMs = 500;
/** Time without contact with any peer after which an instance watches the object API itself. */
const peerSilenceLimitMs = 2000;

/** Dependencies of the watcher. */
export type StoreWatcherOptions = {
	readonly objectApi: ObjectApi;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	readonly metrics: ConfigurationMetrics;
	readonly contact: ContactMonitor;
	readonly members: MemberView;
	readonly cache: PartCache;
	/** Called with each head that the watch returns. Parts that the watch has returned so far are in `cache`. */
	readonly onHead: (head: ConfigurationHead) => void;
};

/** Watches the collection `configurations` while this instance has the role of a watcher. */
export class StoreWatcher {
	private watchController: AbortController | undefined;

	constructor(private readonly options: StoreWatcherOptions) {}

	get isWatching(): boolean {
		return this.watchController !== undefined;
	}

	/** Starts and stops the watch as the member list changes, until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			this.setWatching(this.shouldWatch(this.options.clock.readMonotonic()));
			await this.options.clock.sleep(roleCheckIntervalMs, signal);
		}

		this.setWatching(false);
	}

	private shouldWatch(now: MonotonicMs): boolean {
		const {members, contact} = this.options;
		const lastPeerContactAt = contact.readLastPeerContact();
		const isWithoutPeerContact = lastPeerContactAt === undefined || now - lastPeerContactAt > peerSilenceLimitMs;
		return isWithoutPeerContact || chooseWatchers(members.listLive(now)).has(members.readSelf().id);
	}

	private setWatching(shouldWatch: boolean): void {
		if (!shouldWatch) {
			this.watchController?.abort();
			this.watchController = undefined;
			return;
		}

		if (this.watchController === undefined) {
			this.watchController = new AbortController();
			void this.createMirror().run(this.watchController.signal);
		}
	}

	private createMirror(): CollectionMirror {
		const {objectApi, clock, logger, random, contact, metrics} = this.options;
		const mirror: CollectionMirror = new CollectionMirror({
			objectApi, clock, logger, random,
			collection: configurationCollection,
			onChange: () => {
				this.processMirror(mirror);
			},
			onHeard(now) {
				contact.recordStoreContact(now);
			},
			onWatchReplaced(collection) {
				metrics.watchesReplaced.inc({collection});
			},
		});
		return mirror;
	}

	private processMirror(mirror: CollectionMirror): void {
		const head = headSchema.safeParse(mirror.objects.get(headName)?.value).data;
		if (head === undefined) {
			return;
		}

		const now = this.options.clock.readMonotonic();
		for (const hash of this.options.cache.listMissing(head)) {
			const part = mirror.objects.get(formatPartName(hash));
			if (part !== undefined) {
				this.options.cache.add(hash, part.value as PartContent, now);
			}
		}

		this.options.onHead(head);
	}
}
