/** The waiting calls of one queue by priority. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import {FairFlows, type FlowPass} from '../fair-flows/index.js';
import type {CallRank, QueueEntry} from '../queued-call/index.js';

/** Flows of each priority that has waiting calls. */
export class WaitingLevels {
	private readonly levels = new Map<number, FairFlows>();

	/** Adds an entry. */
	add(entry: QueueEntry): void {
		const {priority} = entry.call;
		const flows = this.levels.get(priority) ?? new FairFlows();
		this.levels.set(priority, flows);
		flows.add(entry);
	}

	/** Removes an entry. */
	remove(entry: QueueEntry): void {
		const {priority} = entry.call;
		const flows = this.levels.get(priority);
		flows?.remove(entry);
		if (flows?.isEmpty) {
			this.levels.delete(priority);
		}
	}

	/** Starts calls, those of a higher priority first. */
	drain(pass: FlowPass, now: MonotonicMs): void {
		for (const priority of [...this.levels.keys()].toSorted((a, b) => a - b)) {
			this.levels.get(priority)?.drain(pass, now);
		}
	}

	/** Sums the cost of the calls that go before `call`, in tokens; its own is included. */
	sumTokensBefore(call: CallRank): number {
		const flows = this.levels.get(call.priority) ?? new FairFlows();
		return this.sumTokens(call.priority - 1) + flows.sumTokensBefore(call);
	}

	/** Sums the cost of the calls of the given priority and of higher ones, in tokens. */
	sumTokens(lowestPriority: number): number {
		return [...this.levels].reduce((sum, [priority, flows]) => sum + (priority <= lowestPriority ? flows.sumTokens() : 0), 0);
	}

	/** Counts the calls by priority. */
	countByPriority(): Map<number, number> {
		return new Map([...this.levels].map(([priority, flows]) => [priority, flows.count]));
	}
}
