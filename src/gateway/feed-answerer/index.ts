/** Answers peers that ask for newer copies of the collections. */

import type {Clock} from '../../clock/clock/index.js';
import {readInstant} from '../../clock/instant/index.js';
import type {CollectionMirror, CollectionUpdate} from '../../store/collection-mirror/index.js';
import type {RevisionTimeline} from '../../store/revision-timeline/index.js';
import type {FeedHealth} from '../feed-health/index.js';
import type {FeedsRequest, FeedsResponse} from '../feed-messages/index.js';

/** Number of confirmed versions in a response. */
const maximumConfirmedVersions = 8;

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

	constructor(private readonly options: FeedAnswererOptions) {}

	/** Responds to a peer as soon as there are newer copies, without any after `waitMs`, or at once while the object API is interrupted. */
	async answer({known, waitMs}: FeedsRequest): Promise<FeedsResponse> {
		const {clock, timeline, health} = this.options;
		let updates = this.listUpdates(known);
		if (updates.length === 0 && waitMs > 0 && !health.isInterrupted(clock.readMonotonic())) {
			await this.waitForChange(waitMs);
			updates = this.listUpdates(known);
		}

		const now = clock.readMonotonic();
		return {
			updates, isInterrupted: health.isInterrupted(now), contactAgeMs: health.measureContactAgeMs(now),
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
