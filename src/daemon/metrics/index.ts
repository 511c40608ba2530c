/** Metrics of the daemon, in the form that Prometheus reads. */

import {
	Counter, Gauge, Registry, collectDefaultMetrics,
} from 'prom-client';
import type {PeerTraffic} from '../../peers/peer-link/index.js';

const prefix = 'laburnumturn_';

/** Values that are read when the metrics are collected. */
export type MetricSources = {
	readonly countInFlight: () => number;
	readonly countConnections: () => number;
	readonly countMembers: () => Readonly<Record<'live' | 'leaving', number>>;
	readonly readRevision: () => number;
};

/** All metrics of one daemon. */
export class DaemonMetrics {
	readonly registry = new Registry();
	private readonly peerCalls = this.createCounter('peer_calls_total', 'Calls to other daemons by method and outcome.', ['method', 'outcome']);
	private readonly peerBytes = this.createCounter('peer_bytes_total', 'Bytes of bodies between daemons.', ['side', 'direction']);
	private readonly storeCalls = this.createCounter('store_calls_total', 'Calls of the object API by kind.', ['kind']);
	private readonly violations = this.createCounter('control_invariant_violations_total', 'Violations of the invariants of membership and orders; always 0 in a correct program.', ['name']);
	private readonly orders = this.createCounter('orders_total', 'Orders to engines by order and outcome.', ['order', 'outcome']);

	private readonly gauges: Gauge[] = [];

	constructor() {
		collectDefaultMetrics({register: this.registry, prefix});
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

	private addGauge(name: string, help: string, read: () => number): void {
		this.gauges.push(new Gauge({
			name: prefix + name, help, registers: [this.registry],
			collect() {
				this.set(read());
			},
		}));
	}

	private createCounter<Label extends string>(name: string, help: string, labelNames: Label[]): Counter<Label> {
		return new Counter({
			name: prefix + name, help, labelNames, registers: [this.registry],
		});
	}
}
