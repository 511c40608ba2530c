/** Requests that wait until an engine has room. */

import type {MonotonicMs, OrganisationId} from '../../identity/ids/index.js';
import {createRouterError, type RouterError} from '../../results/create-router-error/index.js';

/** A request that waits. */
export type QueueEntry = {
	readonly organisation: OrganisationId;
	/** Share of the organisation relative to others. */
	readonly weight: number;
	readonly costTokens: number;
	readonly deadline: MonotonicMs;
	/** Takes an engine if one has room for this request; returns false otherwise. */
	start(): boolean;
	/** Called once when the request is refused without having run. */
	refuse(error: RouterError): void;
};

/** Options of `FairQueue`. */
export type FairQueueOptions = {
	readonly maximumEntries: number;
};

/** First-in-first-out queue. */
export class FairQueue {
	private readonly entries: QueueEntry[] = [];

	constructor(private readonly options: FairQueueOptions) {}

	get length(): number {
		return this.entries.length;
	}

	enqueue(entry: QueueEntry, _now: MonotonicMs): () => void {
		if (this.entries.length >= this.options.maximumEntries) {
			throw createRouterError('overloaded');
		}

		this.entries.push(entry);
		return () => {
			// Nothing is removed yet.
		};
	}

	drain(_now: MonotonicMs): void {
		while (this.entries[0]?.start()) {
			this.entries.shift();
		}
	}
}
