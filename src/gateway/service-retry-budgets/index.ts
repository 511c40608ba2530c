/** Retry budgets by service, which keep all instances together within the allowance of each service. */

import {RetryBudget} from '../../requests/retry-budget/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';

/** Retries of one service over all instances: `ratio` per call, plus `extra` in any time window. */
export type RetryAllowance = {readonly ratio: number; readonly extra: number};

/** Fraction of the allowance that is distributed; the remainder covers instances that restart with a full budget. */
const distributedRatio = 0.6;

/** Creates the budget of each service on first use. */
export class ServiceRetryBudgets {
	private readonly budgets = new Map<ServiceId, RetryBudget>();

	constructor(private readonly readAllowance: () => RetryAllowance, private readonly countInstances: () => number) {}

	find(service: ServiceId): RetryBudget {
		let budget = this.budgets.get(service);
		if (budget === undefined) {
			const {ratio, extra} = this.readAllowance();
			const burstRetries = Math.max(1, extra * distributedRatio / Math.max(1, this.countInstances()));
			budget = new RetryBudget({retriesPerRequest: ratio * distributedRatio, initialRetries: burstRetries, maximumLevel: burstRetries});
			this.budgets.set(service, budget);
		}

		return budget;
	}

	/** Creates the budgets anew at their next use, with the allowance of that time. */
	reset(): void {
		this.budgets.clear();
	}
}
