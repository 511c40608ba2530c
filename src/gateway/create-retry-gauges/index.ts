/** Creates the gauges of the retry budgets of a gateway instance. */

import type {Clock} from '../../clock/clock/index.js';
import type {GatewayGauges} from '../gateway-metrics/index.js';
import type {ServiceRetryBudgets} from '../service-retry-budgets/index.js';

/** Returns the gauges as a source for `listGauges`. */
export function createRetryGauges(budgets: Pick<ServiceRetryBudgets, 'summarise'>, clock: Clock): {readonly gauges: GatewayGauges} {
	const summarise = () => budgets.summarise(clock.readMonotonic());
	return {
		gauges: {
			retry_budget_lowest_level: {
				help: 'Retries that this instance has left for the service with the fewest.', read: () => summarise().lowestLevel,
			},
			retries_taken: {help: 'Retries that calls took from the budgets since the start.', read: () => summarise().taken},
			retries_refused: {help: 'Retries that the budgets refused since the start.', read: () => summarise().refused},
		},
	};
}
