/** Prometheus metrics of the daemon. */

import {
	Counter, Gauge, Registry, collectDefaultMetrics,
} from 'prom-client';
import type {PeerTraffic} from '../../peers/peer-link/index.js';

const prefix = 'laburnumturn_';

/** Functions that return the current values of gauges when the metrics are collected. */
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

	/** Records a call to another daemon, with its bytes. */
	recordPeerCall(traffic: PeerTraffic): void {
		this.peerCalls.inc({method: traffic.method, outcome: traffic.outcome});
		this.recordPeerBytes('caller', traffic.sentBytes, traffic.receivedBytes);
	}

	/** Records the bytes of a call, on the side that made it or served it. */
	recordPeerBytes(side: 'caller' | 'callee', sentBytes: number, receivedBytes: number): void {
		this.peerBytes.inc({side, direction: 'sent'}, sentBytes);
		this.peerBytes.inc({side, direction: 'received'}, receivedBytes);
	}

	recordStoreCall(kind: 'read' | 'write' | 'watch'): void {
		this.storeCalls.inc({kind});
	}

	recordViolation(name: string): void {
		this.violations.inc({name});
	}

	recordOrder(order: string, outcome: string): void {
		this.orders.inc({order, outcome});
	}

	/** Adds the gauges whose values come from other components. */
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

	/** Adds gauges whose values are read from another component, by name. */
	addGauges(gauges: Readonly<Record<string, {readonly help: string; readonly read: () => number}>>): void {
		for (const [name, {help, read}] of Object.entries(gauges)) {
			this.addGauge(name, help, read);
		}
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
