/**
 * The waiting calls of one priority, served in weighted deficit round robin with costs in tokens.
 *
 * Each organisation has a flow for each of its routes, among which its weight is divided. Load pattern: a route of long prompts
 * with a tight latency goal and one of short prompts with a loose one share their engines; in a single line, one of the two would
 * get no room. Within a flow, calls that can still be answered within their latency goal go before those that are late.
 */

import type {MonotonicMs, OrganisationId} from '../../identity/ids/index.js';
import type {CallRank, QueueEntry} from '../queued-call/index.js';
import {isTimely} from '../plan-admission/index.js';

/** Tokens that each round adds to the deficit of an organisation of weight 1; about the size of a small prompt. */
const quantumTokens = 4096;
/** Limit on the cost of a call, in tokens, which bounds the rounds until a flow can afford it. */
const maximumCostTokens = 64 * quantumTokens;
/** Cost of a call that states 0 tokens, so that each call uses up a part of the deficit. */
const minimumCostTokens = 1;

/** Waiting calls of one organisation on one route, in order of arrival. */
type Flow = {
	readonly key: string;
	readonly organisation: OrganisationId | undefined;
	readonly entries: QueueEntry[];
	weight: number;
	/** Cost of the calls that the flow may send before it gets a further quantum, in tokens. */
	deficit: number;
};

/** What a pass over the flows does with an entry. */
export type FlowPass = {
	/** Whether the entry may have room; if not, those behind it are looked at. */
	readonly canTry: (entry: QueueEntry) => boolean;
	/** Sends the call if a target has room; returns whether it has left the queue. */
	readonly tryStart: (entry: QueueEntry) => boolean;
};

/** Flows of one priority. */
export class FairFlows {
	/** Flows with entries, in the order of their turns. */
	private readonly flows = new Map<string, Flow>();

	/** Whether no call waits. */
	get isEmpty(): boolean {
		return this.flows.size === 0;
	}

	/** Number of waiting calls. */
	get count(): number {
		return [...this.flows.values()].reduce((sum, {entries}) => sum + entries.length, 0);
	}

	/** Adds an entry behind those of its flow that arrived earlier. */
	add(entry: QueueEntry): void {
		const {organisation, weight, since} = entry.call;
		const key = formatFlowKey(entry.call);
		const flow = this.flows.get(key) ?? {
			key, organisation, entries: [], weight, deficit: 0,
		};
		flow.weight = weight;
		this.flows.set(key, flow);
		const index = flow.entries.findLastIndex(({call}) => call.since <= since);
		flow.entries.splice(index + 1, 0, entry);
	}

	/** Removes an entry. A flow that becomes empty loses its deficit. */
	remove(entry: QueueEntry): void {
		const flow = this.flows.get(formatFlowKey(entry.call));
		const index = flow?.entries.indexOf(entry) ?? -1;
		if (flow === undefined || index === -1) {
			return;
		}

		flow.entries.splice(index, 1);
		if (flow.entries.length === 0) {
			this.flows.delete(flow.key);
		}
	}

	/** Starts calls in turn until no flow has one that can be sent. */
	drain({canTry, tryStart}: FlowPass, now: MonotonicMs): void {
		const blocked = new Set<string>();
		while (blocked.size < this.flows.size) {
			const flow = this.flows.values().next().value!;
			const entry = blocked.has(flow.key) ? undefined : findNext(flow, canTry, now);
			if (entry === undefined) {
				// A flow that can't send now earns nothing, so it doesn't save up a burst.
				blocked.add(flow.key);
				this.advanceRound(flow, 0);
			} else if (calculateCost(entry.call) > flow.deficit) {
				this.advanceRound(flow, quantumTokens * this.calculateShare(flow));
			} else if (tryStart(entry)) {
				flow.deficit -= calculateCost(entry.call);
			}
		}
	}

	/** Sums the cost of the calls that go before a further call of this priority, in tokens; the call itself is included. */
	sumTokensBefore(call: CallRank): number {
		const key = formatFlowKey(call);
		const cost = calculateCost(call);
		const ownTokens = cost + sumCosts(this.flows.get(key)?.entries.filter(entry => entry.call !== call && entry.call.since <= call.since) ?? []);
		const others = [...this.flows.values()].filter(flow => flow.key !== key);
		const share = this.calculateShare({key, organisation: call.organisation, weight: call.weight});
		const rounds = ownTokens / share;
		return others.reduce((sum, flow) => sum + Math.min(sumCosts(flow.entries), rounds * this.calculateShare(flow)), ownTokens);
	}

	/** Sums the cost of all calls, in tokens. */
	sumTokens(): number {
		return [...this.flows.values()].reduce((sum, flow) => sum + sumCosts(flow.entries), 0);
	}

	/** Moves a flow to the end of the round and adds tokens to its deficit. */
	private advanceRound(flow: Flow, tokens: number): void {
		flow.deficit += tokens;
		this.flows.delete(flow.key);
		this.flows.set(flow.key, flow);
	}

	/** The part of the organisation's weight that falls to one of its flows. */
	private calculateShare({key, organisation, weight}: Pick<Flow, 'key' | 'organisation' | 'weight'>): number {
		const otherRoutes = [...this.flows.values()].filter(flow => flow.organisation === organisation && flow.key !== key).length;
		return weight / (otherRoutes + 1);
	}
}

/** Finds the first call that may have room: one that is not yet late if there is any. */
function findNext({entries}: Flow, canTry: FlowPass['canTry'], now: MonotonicMs): QueueEntry | undefined {
	return entries.find(entry => isTimely(entry.call, now) && canTry(entry)) ?? entries.find(entry => canTry(entry));
}

function formatFlowKey({organisation, route}: Pick<CallRank, 'organisation' | 'route'>): string {
	return `${organisation ?? ''}/${route}`;
}

function calculateCost({costTokens}: Pick<CallRank, 'costTokens'>): number {
	return Math.min(Math.max(costTokens, minimumCostTokens), maximumCostTokens);
}

function sumCosts(entries: readonly QueueEntry[]): number {
	return entries.reduce((sum, {call}) => sum + calculateCost(call), 0);
}
