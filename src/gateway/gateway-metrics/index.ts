/** Metrics of the gateway process. */

import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {CallReport} from '../../forwarding/forwarding-context/index.js';

const metricPrefix = 'laburnumturn_gateway_';
/** Upper bounds of the buckets of the call duration histogram, in seconds. */
const durationBucketsSeconds = [0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];
const msPerSecond = 1000;

/** Gauges by name; `read` is called when the metrics are collected. */
export type GatewayGauges = Readonly<Record<string, {readonly help: string; readonly read: () => number}>>;

/** Prometheus metrics of one gateway. */
export class GatewayMetrics {
	readonly registry = new Registry();
	private readonly calls = new Counter({
		name: `${metricPrefix}calls_total`, help: 'Calls by route, outcome and status.', labelNames: ['route', 'outcome', 'status'], registers: [this.registry],
	});

	private readonly attempts = new Counter({name: `${metricPrefix}attempts_total`, help: 'Attempts at targets.', registers: [this.registry]});
	private readonly storeCalls = new Counter({
		name: `${metricPrefix}store_calls_total`, help: 'Calls of the object API by kind.', labelNames: ['kind'], registers: [this.registry],
	});

	private readonly durations = new Histogram({
		name: `${metricPrefix}call_seconds`, help: 'Time from arrival to the end of the answer.', labelNames: ['outcome'], buckets: durationBucketsSeconds, registers: [this.registry],
	});

	private readonly gauges: Gauge[] = [];

	recordCall({route, outcome, status, attempts, durationMs}: CallReport): void {
		this.calls.inc({route, outcome, status});
		this.attempts.inc(attempts);
		this.durations.observe({outcome}, durationMs / msPerSecond);
	}

	recordStoreCall(kind: 'read' | 'write' | 'watch'): void {
		this.storeCalls.inc({kind});
	}

	/** Adds gauges whose values are read from other components. */
	addGauges(gauges: GatewayGauges): void {
		for (const [name, {help, read}] of Object.entries(gauges)) {
			this.gauges.push(new Gauge({
				name: metricPrefix + name, help, registers: [this.registry],
				collect() {
					this.set(read());
				},
			}));
		}
	}
}
