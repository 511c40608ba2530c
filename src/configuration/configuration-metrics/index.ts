/** Metrics of the configuration acceptor and follower. */

import {Counter, Gauge, type Registry} from 'prom-client';

/** Configuration metrics of one instance. */
export type ConfigurationMetrics = {
	readonly applied: Counter<'source'>;
	readonly accepted: Counter;
	readonly refused: Counter;
	readonly withdrawalsOnly: Counter;
	readonly headConflicts: Counter;
	readonly readBacks: Counter;
	readonly statusWrites: Counter;
	readonly deletedParts: Counter;
	readonly fetchFailures: Counter;
	readonly watchesReplaced: Counter<'collection'>;
	readonly isolated: Gauge;
};

/** Creates the metrics and registers them in `registry`. */
export function createConfigurationMetrics(registry: Registry): ConfigurationMetrics {
	const registers = [registry];
	const createCounter = (name: string, help: string) => new Counter({name: `laburnumturn_${name}`, help, registers});
	return {
		applied: new Counter({
			name: 'laburnumturn_configuration_applied_total', help: 'Applied revisions by source', labelNames: ['source'], registers,
		}),
		accepted: createCounter('configuration_accepted_total', 'Revisions that this instance accepted'),
		refused: createCounter('configuration_refused_total', 'Wholes that this instance refused'),
		withdrawalsOnly: createCounter('configuration_withdrawals_only_total', 'Revisions that only withdraw keys while the whole is refused'),
		headConflicts: createCounter('configuration_head_conflicts_total', 'Lost races for the head'),
		readBacks: createCounter('configuration_read_backs_total', 'Heads read back after a lost answer'),
		statusWrites: createCounter('configuration_status_writes_total', 'Writes of resource status'),
		deletedParts: createCounter('configuration_deleted_parts_total', 'Deleted parts that no recent head names'),
		fetchFailures: createCounter('configuration_fetch_failures_total', 'Failed fetches from peers'),
		watchesReplaced: new Counter({
			name: 'laburnumturn_watches_replaced_total', help: 'Watches that broke or went silent', labelNames: ['collection'], registers,
		}),
		isolated: new Gauge({name: 'laburnumturn_isolated', help: 'Whether keyed requests are refused because neither store nor peers are heard', registers}),
	};
}
