/**
 * Requests that wait until an engine has room: one queue per organisation, served in deficit round
 * robin by weight with cost in tokens, bounded in length and by deadline. Every refusal is a true
 * "not run", since nothing of a waiting request has been sent to a target.
 */

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
	/** Bound over all organisations. */
	readonly maximumEntries: number;
};

type Lane = {
	readonly organisation: OrganisationId;
	entries: QueueEntry[];
	weight: number;
	queuedTokens: number;
	deficit: number;
};

/** Tokens that an organisation of weight 1 may send per round; about the size of a small prompt. */
const quantumTokens = 4096;
/** Time over which the rate of service is measured; the queue must have been in use for as long. */
const rateWindowMs = 1000;
/** Entries of one organisation that are tried per round; bounds the cost of a long queue behind a hot engine. */
const passableEntries = 4;
const msPerSecond = 1000;

/** Weighted fair queue of one group of engines. */
export class FairQueue {
	/** Lanes with entries, in the order of the round. */
	private readonly lanes = new Map<OrganisationId, Lane>();
	private current: Lane | undefined;
	private starts: Array<{readonly at: number; readonly tokens: number}> = [];
	private busySince: number | undefined;
	private count = 0;

	constructor(private readonly options: FairQueueOptions) {}

	get length(): number {
		return this.count;
	}

	/** Adds a request; returns the function that removes it. Throws `overloaded` when it cannot be served in time. */
	enqueue(entry: QueueEntry, now: MonotonicMs): () => void {
		const lane = this.lanes.get(entry.organisation) ?? {
			organisation: entry.organisation, entries: [], weight: entry.weight, queuedTokens: 0, deficit: 0,
		};
		lane.weight = entry.weight;
		const waitMs = this.estimateWait(lane, entry.costTokens, now);
		if (this.count >= this.options.maximumEntries || lane.entries.length >= this.calculateLaneBound(lane)) {
			throw createOverloaded('the queue is full', waitMs);
		}

		if (now + waitMs > entry.deadline) {
			throw createOverloaded('the wait would exceed the deadline', waitMs);
		}

		lane.entries.push(entry);
		lane.queuedTokens += entry.costTokens;
		this.lanes.set(entry.organisation, lane);
		this.count += 1;
		this.busySince ??= now;
		return () => {
			this.remove(lane, entry);
		};
	}

	/** Refuses entries whose deadline has passed and starts others as long as engines have room. */
	drain(now: MonotonicMs): void {
		this.refuseExpired(now);
		const blocked = new Set<Lane>();
		while (blocked.size < this.lanes.size) {
			const lane = this.current;
			if (lane === undefined || blocked.has(lane) || !coversFirst(lane)) {
				this.advanceRound(blocked);
			} else if (!this.startFirst(lane, now)) {
				blocked.add(lane);
			}
		}
	}

	/** Starts the first entry of `lane` that an engine has room for; entries behind one that waits for a certain engine may pass it. */
	private startFirst(lane: Lane, now: MonotonicMs): boolean {
		const entry = lane.entries.slice(0, passableEntries).find(waiting => waiting.start());
		if (entry === undefined) {
			return false;
		}

		lane.deficit -= entry.costTokens;
		this.starts.push({at: now, tokens: entry.costTokens});
		this.remove(lane, entry);
		return true;
	}

	/** Gives the turn to the next lane and adds its quantum. */
	private advanceRound(blocked: ReadonlySet<Lane>): void {
		if (this.current !== undefined && this.lanes.delete(this.current.organisation)) {
			this.lanes.set(this.current.organisation, this.current);
		}

		const [next] = this.lanes.values();
		this.current = next;
		// A lane that no engine has room for earns nothing meanwhile.
		if (next !== undefined && !blocked.has(next)) {
			next.deficit += quantumTokens * next.weight;
		}
	}

	private remove(lane: Lane, entry: QueueEntry): void {
		const index = lane.entries.indexOf(entry);
		if (index === -1) {
			return;
		}

		lane.entries.splice(index, 1);
		lane.queuedTokens -= entry.costTokens;
		this.count -= 1;
		if (lane.entries.length === 0) {
			this.removeLane(lane);
		}
	}

	/** An organisation without waiting requests keeps no claim from earlier rounds. */
	private removeLane(lane: Lane): void {
		this.lanes.delete(lane.organisation);
		if (this.current === lane) {
			this.current = undefined;
		}

		if (this.count === 0) {
			this.busySince = undefined;
			this.starts = [];
		}
	}

	private refuseExpired(now: MonotonicMs): void {
		for (const lane of this.lanes.values()) {
			for (const entry of lane.entries.filter(waiting => waiting.deadline < now)) {
				this.remove(lane, entry);
				entry.refuse(createOverloaded('the deadline has passed', this.estimateWait(lane, entry.costTokens, now)));
			}
		}
	}

	/** Estimates the wait of a further request of `lane` from the recent rate of service; 0 while the rate is unknown. */
	private estimateWait(lane: Lane, costTokens: number, now: MonotonicMs): number {
		this.starts = this.starts.filter(start => start.at > now - rateWindowMs);
		if (this.busySince === undefined || now - this.busySince < rateWindowMs || this.starts.length === 0) {
			return 0;
		}

		const servedTokens = this.starts.reduce((sum, start) => sum + start.tokens, 0);
		const share = lane.weight / this.sumWeights(lane);
		return (lane.queuedTokens + costTokens) * rateWindowMs / (servedTokens * share);
	}

	/** One part stays free for an organisation that does not wait yet. */
	private calculateLaneBound(lane: Lane): number {
		const weights = this.sumWeights(lane) + 1;
		return Math.max(1, Math.floor(this.options.maximumEntries * lane.weight / weights));
	}

	/** Weights of all organisations that wait, and of `lane` even if it does not wait yet. */
	private sumWeights(lane: Lane): number {
		const others = [...this.lanes.values()].filter(other => other.organisation !== lane.organisation);
		return others.reduce((sum, other) => sum + other.weight, lane.weight);
	}
}

/** Whether the lane's deficit pays for its first entry. */
function coversFirst(lane: Lane): boolean {
	const [first] = lane.entries;
	return first !== undefined && first.costTokens <= lane.deficit;
}

function createOverloaded(reason: string, waitMs: number): RouterError {
	return createRouterError('overloaded', reason, {retryAfterSeconds: Math.max(1, Math.ceil(waitMs / msPerSecond))});
}
