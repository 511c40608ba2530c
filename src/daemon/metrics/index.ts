/** Metrics of the daemon, in the form that Prometheus reads. */

import {
	Counter, Gauge, Histogram, Registry, collectDefaultMetrics,
} from 'prom-client';
import type {PeerTraffic} from '../../peers/peer-link/index.js';

const prefix = 'laburnumturn_';
const durationBuckets = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60];

/** Kind of a caller's request. */
export type RequestKind = 'completion' | 'service' | 'models' | 'addresses';

/** A finished request of a caller. */
export type FinishedRequest = {
	readonly kind: RequestKind;
	/** Number of the result code, `0` for success, `aborted` when the caller left first. */
	readonly code: string;
	/** Time to the answer's headers, in milliseconds; undefined when none were sent. */
	readonly headersMs: number | undefined;
	readonly totalMs: number;
};

/** Values that are read when the metrics are collected. */
export type MetricSources = {
	readonly countInFlight: () => number;
	readonly countConnections: () => Promise<number>;
	readonly countMembers: () => Readonly<Record<'live' | 'leaving', number>>;
	readonly readRevision: () => number;
};

const msPerSecond = 1000;

/** All metrics of one daemon. */
export class DaemonMetrics {
	readonly registry = new Registry();
	private readonly requests = this.createCounter('requests_total', 'Requests of callers by kind and result code; 0 is success.', ['kind', 'code']);
	private readonly headersSeconds = this.createHistogram('request_headers_seconds', 'Time from a request to the headers of its answer.');
	private readonly totalSeconds = this.createHistogram('request_duration_seconds', 'Time from a request to the end of its answer.');
	private readonly peerCalls = this.createCounter('peer_calls_total', 'Calls to other daemons by method and outcome.', ['method', 'outcome']);
	private readonly peerBytes = this.createCounter('peer_bytes_total', 'Bytes of bodies between daemons.', ['side', 'direction']);
	private readonly storeCalls = this.createCounter('store_calls_total', 'Calls of the object API by kind.', ['kind']);
	private readonly violations = this.createCounter('invariant_violations_total', 'Violated invariants of the program.', ['name']);
	private readonly orders = this.createCounter('orders_total', 'Orders to engines by order and outcome.', ['order', 'outcome']);

	private readonly gauges: Gauge[] = [];

	constructor() {
		collectDefaultMetrics({register: this.registry, prefix});
	}

	noteRequest({kind, code, headersMs, totalMs}: FinishedRequest): void {
		this.requests.inc({kind, code});
		this.totalSeconds.observe({kind}, totalMs / msPerSecond);
		if (headersMs !== undefined) {
			this.headersSeconds.observe({kind}, headersMs / msPerSecond);
		}
	}

	/** Notes a call to another daemon. */
	notePeerCall(traffic: PeerTraffic): void {
		this.peerCalls.inc({method: traffic.method, outcome: traffic.outcome});
		this.notePeerBytes('caller', traffic.sentBytes, traffic.receivedBytes);
	}

	/** Notes bytes of a call, on the side that made or served it. */
	notePeerBytes(side: 'caller' | 'callee', sentBytes: number, receivedBytes: number): void {
		this.peerBytes.inc({side, direction: 'sent'}, sentBytes);
		this.peerBytes.inc({side, direction: 'received'}, receivedBytes);
	}

	noteStoreCall(kind: 'read' | 'write' | 'watch'): void {
		this.storeCalls.inc({kind});
	}

	noteViolation(name: string): void {
		this.violations.inc({name});
	}

	noteOrder(order: string, outcome: string): void {
		this.orders.inc({order, outcome});
	}

	/** Adds the gauges that are read from other parts. */
	addSources(sources: MetricSources): void {
		this.addGauge('requests_in_flight', 'Requests of callers being served.', sources.countInFlight);
		this.addGauge('connections', 'Open connections of callers.', sources.countConnections);
		this.addGauge('configuration_revision', 'Revision of the configuration in force, -1 for none.', sources.readRevision);
		this.gauges.push(new Gauge({
			name: `${prefix}members`, help: 'Members whose heartbeats arrive, by state.', labelNames: ['state'], registers: [this.registry],
			collect(this: Gauge) {
				for (const [state, count] of Object.entries(sources.countMembers())) {
					this.set({state}, count);
				}
			},
		}));
	}

	private addGauge(name: string, help: string, read: () => number | Promise<number>): void {
		this.gauges.push(new Gauge({
			name: prefix + name, help, registers: [this.registry],
			async collect() {
				this.set(await read());
			},
		}));
	}

	private createCounter<Label extends string>(name: string, help: string, labelNames: Label[]): Counter<Label> {
		return new Counter({
			name: prefix + name, help, labelNames, registers: [this.registry],
		});
	}

	private createHistogram(name: string, help: string): Histogram<'kind'> {
		return new Histogram({
			name: prefix + name, help, labelNames: ['kind'], buckets: durationBuckets, registers: [this.registry],
		});
	}
}
