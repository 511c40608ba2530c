/** Metrics of the fleet budgets. */

import {Counter, Gauge, type Registry} from 'prom-client';

/** Counters and gauges of one instance. */
export type BudgetMetrics = {
	readonly admittedTokens: Counter;
	readonly refusals: Counter<'reason'>;
	readonly exchanges: Counter<'role' | 'outcome'>;
	readonly ownedParts: Gauge;
	readonly ledgerRevision: Gauge;
};

/** Creates the metrics and registers them in `registry`. */
export function createBudgetMetrics(registry: Registry): BudgetMetrics {
	const registers = [registry];
	return {
		admittedTokens: new Counter({name: 'laburnumturn_budget_admitted_tokens_total', help: 'Tokens charged at admission', registers}),
		refusals: new Counter({
			name: 'laburnumturn_budget_refusals_total', help: 'Requests refused by the budget, by reason', labelNames: ['reason'], registers,
		}),
		exchanges: new Counter({
			name: 'laburnumturn_budget_exchanges_total', help: 'Calls of budget.exchange sent, by role and outcome', labelNames: ['role', 'outcome'], registers,
		}),
		ownedParts: new Gauge({name: 'laburnumturn_budget_owned_parts', help: 'Budget parts that this instance may use', registers}),
		ledgerRevision: new Gauge({name: 'laburnumturn_budget_ledger_revision', help: 'Latest revision of the budget ledger known here', registers}),
	};
}
