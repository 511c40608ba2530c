/** Retry budgets by service. All instances together stay within the allowance of each service. */

import {RetryBudget} from '../../requests/retry-budget/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';

/** Allowance of one service over all instances: `ratio` for each call and `extra` in any window. */
export type RetryAllowance = {readonly ratio: number; readonly extra: number};

/** Part of the allowance that is used; the rest covers instances that restart with a full budget. */
const usedShare = 0.6;

/** Creates a budget for each service when it is first asked for. */
export class ServiceRetryBudgets {
	private readonly budgets = new Map<ServiceId, RetryBudget>();

	constructor(private readonly allowance: RetryAllowance, private readonly countInstances: () => number) {}

	find(service: ServiceId): RetryBudget {
		let budget = this.budgets.get(service);
		if (budget === undefined) {
			const level = Math.max(1, this.allowance.extra * usedShare / Math.max(1, this.countInstances()));
			budget = new RetryBudget({retriesPerRequest: this.allowance.ratio * usedShare, initialRetries: level, highestLevel: level});
			this.budgets.set(service, budget);
		}

		return budget;
	}
}
