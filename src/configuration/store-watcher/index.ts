/** Watches the head in the object API while this instance has that role. */

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

const roleIntervalMs = 500;
/** Without a word from any peer for this long an instance watches by itself, in milliseconds. */
const lonelyMs = 2000;

/** What the watcher needs. */
export type StoreWatcherOptions = {
	readonly objectApi: ObjectApi;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	readonly metrics: ConfigurationMetrics;
	readonly contact: ContactMonitor;
	readonly members: MemberView;
	readonly cache: PartCache;
	/** Called with each head seen; its parts are in `cache` as far as the watch has shown them. */
	readonly onHead: (head: ConfigurationHead) => void;
};

/** Watch of the collection `configurations`, on while the role asks for it. */
export class StoreWatcher {
	private controller: AbortController | undefined;

	constructor(private readonly options: StoreWatcherOptions) {}

	get isWatching(): boolean {
		return this.controller !== undefined;
	}

	/** Takes and leaves the role as the members change, until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			this.switchRole(this.hasRole(this.options.clock.readMonotonic()));
			await this.options.clock.sleep(roleIntervalMs, signal);
		}

		this.switchRole(false);
	}

	private hasRole(now: MonotonicMs): boolean {
		const {members, contact} = this.options;
		const heardAt = contact.readLastPeerContact();
		const isLonely = heardAt === undefined || now - heardAt > lonelyMs;
		return isLonely || chooseWatchers(members.listLive(now)).has(members.readSelf().id);
	}

	private switchRole(hasRole: boolean): void {
		if (!hasRole) {
			this.controller?.abort();
			this.controller = undefined;
			return;
		}

		if (this.controller === undefined) {
			this.controller = new AbortController();
			void this.createMirror().run(this.controller.signal);
		}
	}

	private createMirror(): CollectionMirror {
		const {objectApi, clock, logger, random, contact, metrics} = this.options;
		const mirror: CollectionMirror = new CollectionMirror({
			objectApi, clock, logger, random,
			collection: configurationCollection,
			onChange: () => {
				this.readMirror(mirror);
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

	private readMirror(mirror: CollectionMirror): void {
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
