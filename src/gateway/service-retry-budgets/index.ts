/** Retry budgets by service, which keep all instances together within the allowance of each service. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import {RetryBudget, type RetryShare} from '../../retries/retry-budget/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';

/** Retries of one service over all instances: `ratio` per call, plus `extra`, in any window. */
export type RetryAllowance = {readonly ratio: number; readonly extra: number; readonly windowMs: number};

/** Retries of all services at this instance. */
export type RetrySummary = {
	/** Level of the service with the fewest retries left. */
	readonly lowestLevel: number;
	/** Retries since the start. */
	readonly taken: number;
	readonly refused: number;
};

/**
 * Fractions of the allowance that are distributed. The remainder covers what no instance sees: instances that the
 * number of instances leaves out, requests of targets whose run was a repeat, and retries that are sent some time after they were taken.
 */
const distributedRatio = {perCall: 0.6, extra: 0.7};

/** Creates the budget of each service on first use. */
export class ServiceRetryBudgets {
	private readonly budgets = new Map<ServiceId, RetryBudget>();

	/** `startedAt`: start of the process, from which on extra retries are added. */
	constructor(
		private readonly readAllowance: () => RetryAllowance,
		private readonly countInstances: () => number,
		private readonly startedAt: MonotonicMs,
	) {}

	/** Returns the budget of a service. */
	find(service: ServiceId): RetryBudget {
		let budget = this.budgets.get(service);
		if (budget === undefined) {
			budget = new RetryBudget(() => this.calculateShare(), this.startedAt);
			this.budgets.set(service, budget);
		}

		return budget;
	}

	/** Summarises all services; without any, the lowest level is 0. */
	summarise(now: MonotonicMs): RetrySummary {
		const all = [...this.budgets.values()];
		return {
			lowestLevel: all.length === 0 ? 0 : Math.min(...all.map(budget => budget.readLevel(now))),
			taken: all.reduce((sum, {counts}) => sum + counts.taken, 0),
			refused: all.reduce((sum, {counts}) => sum + counts.refused, 0),
		};
	}

	/** Describes the budgets by service. */
	dump(now: MonotonicMs): unknown {
		return Object.fromEntries([...this.budgets].map(([service, budget]) => [service, {level: budget.readLevel(now), ...budget.counts}]));
	}

	/** Calculates the share of this instance by the settings in force and the present number of instances. */
	private calculateShare(): RetryShare {
		const {ratio, extra, windowMs} = this.readAllowance();
		return {
			retriesPerCall: ratio * distributedRatio.perCall,
			extraRetries: extra * distributedRatio.extra / Math.max(1, this.countInstances()),
			windowMs,
		};
	}
}
