/** Metrics of the admission queues. */

import {
	Counter, Gauge, Histogram, type Registry,
} from 'prom-client';
import type {AdmissionRecorder, RefusalReason, WaitOutcome} from '../admission-recorder/index.js';

const metricPrefix = 'laburnumturn_gateway_admission_';
/** Upper bounds of the buckets of the waits, in seconds. */
const waitBucketsSeconds = [0.01, 0.03, 0.06, 0.12, 0.25, 0.5, 1, 2, 4];
const msPerSecond = 1000;

/** Prometheus metrics of the queues of one instance. */
export class AdmissionMetrics implements AdmissionRecorder {
	private readonly waits: Histogram;
	private readonly refusals: Counter;
	private readonly yields: Counter;

	/** `countByPriority` counts the waiting calls when the metrics are collected. */
	constructor(registry: Registry, countByPriority: () => ReadonlyMap<number, number>) {
		this.waits = new Histogram({
			name: `${metricPrefix}wait_seconds`, help: 'Time in an admission queue by priority and by how it ended.',
			labelNames: ['priority', 'outcome'], buckets: waitBucketsSeconds, registers: [registry],
		});
		this.refusals = new Counter({
			name: `${metricPrefix}refusals_total`, help: 'Calls that an admission queue refused, by priority and reason.',
			labelNames: ['priority', 'reason'], registers: [registry],
		});
		this.yields = new Counter({
			name: `${metricPrefix}yields_total`, help: 'Calls that on arrival left room to more urgent ones at other instances, by priority.',
			labelNames: ['priority'], registers: [registry],
		});
		// Prometheus reads the gauge from the registry.
		// eslint-disable-next-line no-new
		new Gauge({
			name: `${metricPrefix}waiting_calls`, help: 'Calls in the admission queues by priority.', labelNames: ['priority'], registers: [registry],
			collect() {
				this.reset();
				for (const [priority, count] of countByPriority()) {
					this.set({priority}, count);
				}
			},
		});
	}

	recordWait(priority: number, outcome: WaitOutcome, waitMs: number): void {
		this.waits.observe({priority, outcome}, waitMs / msPerSecond);
	}

	recordRefusal(priority: number, reason: RefusalReason): void {
		this.refusals.inc({priority, reason});
	}

	recordYield(priority: number): void {
		this.yields.inc({priority});
	}
}
