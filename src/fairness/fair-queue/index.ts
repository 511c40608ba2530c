/**
 * Weighted fair queue for requests that wait until an engine has capacity. Each organisation has a flow,
 * and the flows are served in deficit round robin with costs in tokens. The queue limits its length and
 * refuses requests at their deadline. A refused request is certain not to have run, since no part of a
 * waiting request has been sent to a target.
 */

import type {MonotonicMs, OrganisationId} from '../../identity/ids/index.js';
import {createRouterError, type RouterError} from '../../results/create-router-error/index.js';

/** A waiting request. */
export type QueueEntry = {
	readonly organisation: OrganisationId;
	/** Share of the organisation relative to others. */
	readonly weight: number;
	readonly costTokens: number;
	readonly deadline: MonotonicMs;
	/** Starts the request if an engine has capacity for it; returns false otherwise. */
	start(): boolean;
	/** Called once if the queue refuses the request, which then has not run. */
	refuse(error: RouterError): void;
};

/** Options of `FairQueue`. */
export type FairQueueOptions = {
	/** Limit for all organisations together. */
	readonly maximumEntries: number;
};

/** Waiting requests of one organisation. */
type Flow = {
	readonly organisation: OrganisationId;
	entries: QueueEntry[];
	weight: number;
	queuedTokens: number;
	deficit: number;
};

/** Tokens that each round adds to the deficit of an organisation of weight 1; about the size of a small prompt. */
const quantumTokens = 4096;
/** Time over which the service rate is measured. Waits are estimated only once the queue has been in use for as long. */
const rateWindowMs = 1000;
/** Number of entries at the head of a flow that are tried at a time; limits the cost of a long queue for a busy engine. */
const maximumTriedEntries = 4;
const msPerSecond = 1000;

/** Weighted fair queue of one group of engines. */
export class FairQueue {
	/** Flows with entries, in round-robin order. */
	private readonly flows = new Map<OrganisationId, Flow>();
	private current: Flow | undefined;
	private recentStarts: Array<{readonly at: number; readonly tokens: number}> = [];
	private busySince: number | undefined;
	private entryCount = 0;

	constructor(private readonly options: FairQueueOptions) {}

	get length(): number {
		return this.entryCount;
	}

	/** Adds a request and returns a function that removes it. Throws `overloaded` when the queue is full or the request can't be served in time. */
	enqueue(entry: QueueEntry, now: MonotonicMs): () => void {
		const flow = this.flows.get(entry.organisation) ?? {
			organisation: entry.organisation, entries: [], weight: entry.weight, queuedTokens: 0, deficit: 0,
		};
		flow.weight = entry.weight;
		const waitMs = this.estimateWait(flow, entry.costTokens, now);
		if (this.entryCount >= this.options.maximumEntries || flow.entries.length >= this.calculateFlowLimit(flow)) {
			throw createOverloaded('the queue is full', waitMs);
		}

		if (now + waitMs > entry.deadline) {
			throw createOverloaded('the wait would exceed the deadline', waitMs);
		}

		flow.entries.push(entry);
		flow.queuedTokens += entry.costTokens;
		this.flows.set(entry.organisation, flow);
		this.entryCount += 1;
		this.busySince ??= now;
		return () => {
			this.remove(flow, entry);
		};
	}

	/** Refuses entries whose deadline has passed, and starts others as long as engines have capacity. */
	drain(now: MonotonicMs): void {
		this.refuseExpired(now);
		const blocked = new Set<Flow>();
		while (blocked.size < this.flows.size) {
			const flow = this.current;
			if (flow === undefined || blocked.has(flow) || !canAffordFirst(flow)) {
				this.advanceRound(blocked);
			} else if (!this.startFirstPlaceable(flow, now)) {
				blocked.add(flow);
			}
		}
	}

	/** Starts the first entry of `flow` for which an engine has capacity. An entry may overtake others that wait for a particular engine. */
	private startFirstPlaceable(flow: Flow, now: MonotonicMs): boolean {
		const entry = flow.entries.slice(0, maximumTriedEntries).find(waiting => waiting.start());
		if (entry === undefined) {
			return false;
		}

		flow.deficit -= entry.costTokens;
		this.recentStarts.push({at: now, tokens: entry.costTokens});
		this.remove(flow, entry);
		return true;
	}

	/** Moves on to the next flow and adds the quantum to its deficit. */
	private advanceRound(blocked: ReadonlySet<Flow>): void {
		if (this.current !== undefined && this.flows.delete(this.current.organisation)) {
			this.flows.set(this.current.organisation, this.current);
		}

		const [next] = this.flows.values();
		this.current = next;
		// A blocked flow gets no quantum, so that it can't accumulate deficit while no engine has capacity for it.
		if (next !== undefined && !blocked.has(next)) {
			next.deficit += quantumTokens * next.weight;
		}
	}

	private remove(flow: Flow, entry: QueueEntry): void {
		const index = flow.entries.indexOf(entry);
		if (index === -1) {
			return;
		}

		flow.entries.splice(index, 1);
		flow.queuedTokens -= entry.costTokens;
		this.entryCount -= 1;
		if (flow.entries.length === 0) {
			this.removeFlow(flow);
		}
	}

	/** Removes a flow without entries, along with the deficit left from earlier rounds. */
	private removeFlow(flow: Flow): void {
		this.flows.delete(flow.organisation);
		if (this.current === flow) {
			this.current = undefined;
		}

		if (this.entryCount === 0) {
			this.busySince = undefined;
			this.recentStarts = [];
		}
	}

	private refuseExpired(now: MonotonicMs): void {
		for (const flow of this.flows.values()) {
			for (const entry of flow.entries.filter(waiting => waiting.deadline < now)) {
				this.remove(flow, entry);
				entry.refuse(createOverloaded('the deadline has passed', this.estimateWait(flow, entry.costTokens, now)));
			}
		}
	}

	/** Estimates the wait of another request of `flow` from the recent service rate; 0 while the rate is unknown. */
	private estimateWait(flow: Flow, costTokens: number, now: MonotonicMs): number {
		this.recentStarts = this.recentStarts.filter(start => start.at > now - rateWindowMs);
		if (this.busySince === undefined || now - this.busySince < rateWindowMs || this.recentStarts.length === 0) {
			return 0;
		}

		const servedTokens = this.recentStarts.reduce((sum, start) => sum + start.tokens, 0);
		const share = flow.weight / this.sumWeights(flow);
		return (flow.queuedTokens + costTokens) * rateWindowMs / (servedTokens * share);
	}

	/** Calculates the maximum number of entries of `flow`. A share for one more organisation of weight 1 stays free. */
	private calculateFlowLimit(flow: Flow): number {
		const totalWeight = this.sumWeights(flow) + 1;
		return Math.max(1, Math.floor(this.options.maximumEntries * flow.weight / totalWeight));
	}

	/** Adds up the weights of all waiting organisations and of `flow`, whether it is waiting or not. */
	private sumWeights(flow: Flow): number {
		const others = [...this.flows.values()].filter(other => other.organisation !== flow.organisation);
		return others.reduce((sum, other) => sum + other.weight, flow.weight);
	}
}

/** Whether the deficit of `flow` covers the cost of its first entry. */
function canAffordFirst(flow: Flow): boolean {
	const [first] = flow.entries;
	return first !== undefined && first.costTokens <= flow.deficit;
}

function createOverloaded(reason: string, waitMs: number): RouterError {
	return createRouterError('overloaded', reason, {retryAfterSeconds: Math.max(1, Math.ceil(waitMs / msPerSecond))});
}
