/** Answers peers that ask for newer copies of the collections. */

import type {Clock} from '../../clock/clock/index.js';
import {readInstant} from '../../clock/instant/index.js';
import type {InstanceId} from '../../identity/ids/index.js';
import type {CollectionMirror, CollectionUpdate} from '../../store/collection-mirror/index.js';
import type {StoredObject} from '../../store/object-api/index.js';
import type {RevisionTimeline} from '../../store/revision-timeline/index.js';
import type {FeedHealth} from '../feed-health/index.js';
import type {FeedsRequest, FeedsResponse} from '../feed-messages/index.js';
import {TransferLimit} from '../transfer-limit/index.js';

/** Number of confirmed versions in a response. */
const maximumConfirmedVersions = 8;

/** Size from which an update is large, in characters of its JSON. */
const largeUpdateLength = 64 * 1024;

/** Options of the feed answerer. */
export type FeedAnswererOptions = {
	readonly clock: Clock;
	readonly mirrors: ReadonlyMap<string, CollectionMirror>;
	readonly timeline: RevisionTimeline;
	readonly health: FeedHealth;
};

/** Serves copies of the collections to peers. */
export class FeedAnswerer {
	private readonly waitingRequests = new Set<() => void>();
	private readonly transfers = new TransferLimit();
	private readonly lengths = new WeakMap<StoredObject, number>();

	constructor(private readonly options: FeedAnswererOptions) {}

	/** Responds to a peer as soon as there are newer copies, without any after `waitMs`, or at once while the object API is interrupted. */
	async answer({known, waitMs, acceptsReferral = false}: FeedsRequest, from: InstanceId): Promise<FeedsResponse> {
		const {clock, timeline, health} = this.options;
		let updates = this.listUpdates(known);
		if (!updates.some(update => this.isLarge(update))) {
			this.transfers.recordReceived(from);
		}

		if (updates.length === 0 && waitMs > 0 && !health.isInterrupted(clock.readMonotonic())) {
			await this.waitForChange(waitMs);
			updates = this.listUpdates(known);
		}

		const now = clock.readMonotonic();
		return {
			...(acceptsReferral ? this.limitUpdates(updates, from) : {updates}),
			isInterrupted: health.isInterrupted(now), contactAgeMs: health.measureContactAgeMs(now),
			confirmed: timeline.listRecent(maximumConfirmedVersions, readInstant(clock)),
		};
	}

	/** Responds to the requests that are waiting for a change or an interruption. */
	answerWaitingRequests(): void {
		for (const release of this.waitingRequests) {
			release();
		}
	}

	private listUpdates(versions: Readonly<Record<string, string>>): CollectionUpdate[] {
		const updates = [...this.options.mirrors].map(([collection, mirror]) => mirror.readUpdate(versions[collection] === '' ? undefined : versions[collection]));
		return updates.filter(update => update !== undefined);
	}

	/** Leaves large updates out while as many as allowed are being sent, and names instances that have them. */
	private limitUpdates(updates: readonly CollectionUpdate[], to: InstanceId): Pick<FeedsResponse, 'updates' | 'mustConfirm' | 'referral'> {
		const largeUpdates = updates.filter(update => this.isLarge(update));
		if (largeUpdates.length === 0) {
			return {updates};
		}

		const version = largeUpdates.map(update => update.version).join(' ');
		return this.transfers.tryBegin(to, version, this.options.clock.readMonotonic())
			? {updates, mustConfirm: true}
			: {updates: updates.filter(update => !largeUpdates.includes(update)), referral: this.transfers.listReceivers()};
	}

	private isLarge({objects}: CollectionUpdate): boolean {
		let length = 0;
		for (const object of objects) {
			length += this.measureLength(object);
		}

		return length >= largeUpdateLength;
	}

	private measureLength(object: StoredObject): number {
		let length = this.lengths.get(object);
		if (length === undefined) {
			length = JSON.stringify(object).length;
			this.lengths.set(object, length);
		}

		return length;
	}

	private async waitForChange(waitMs: number): Promise<void> {
		const controller = new AbortController();
		const release = () => {
			controller.abort();
		};

		this.waitingRequests.add(release);
		await this.options.clock.sleep(waitMs, controller.signal);
		this.waitingRequests.delete(release);
	}
}
