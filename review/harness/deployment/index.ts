/** A small deployment on loopback addresses: the platform's store, gateway processes and workers. */

import {setTimeout as delay} from 'node:timers/promises';
import {startStoreServer, type StoreServer} from '../../../platform/fixtures/start-store-server/index.js';
import {SoakInstance} from '../../../src/soak/soak-instance/index.js';
import {FaultyProxy} from '../../../src/standin/faulty-proxy/index.js';
import type {CaseRecord} from '../case-record/index.js';
import {CaseTarget, type CaseTargetOptions} from '../case-target/index.js';

/** Host name of all routes. */
export const caseHost = 'review.example';

/** A route of the configuration; what is left out is as the operators' examples have it. */
export type CaseRoute = {
	readonly prefix: string;
	readonly kind: 'streaming' | 'idempotent' | 'non_idempotent';
	readonly service: string;
	readonly timeoutMs?: number;
	readonly attempts?: number;
};

/** A tenant with its keys. */
export type CaseTenant = {readonly name: string; readonly keys: readonly string[]; readonly isIsolated?: boolean};

/** What the operator configures. `engineModels`: models by service. */
export type CaseConfiguration = {
	readonly routes: readonly CaseRoute[];
	readonly tenants: readonly CaseTenant[];
	readonly engineModels?: Readonly<Record<string, string>>;
};

const zones = ['z0', 'z1', 'z2'];
const defaultTimeoutMs = 5000;
const readyTimeoutMs = 20_000;
const readyCheckMs = 100;
const readinessPort = 8605;

/** Starts and ends all parts. */
export class Deployment {
	store!: StoreServer;
	/** All connections between gateways and store pass it, unless a case opens others. */
	storePath!: FaultyProxy;
	readonly gateways: SoakInstance[] = [];
	readonly targets: CaseTarget[] = [];
	private version = 0;

	constructor(private readonly directory: string, private readonly record: CaseRecord) {}

	/** Starts the store. */
	async startStore(): Promise<void> {
		this.store = await startStoreServer();
		this.storePath = new FaultyProxy(this.store.address);
	}

	/** Writes a configuration; the return is the store's acknowledgement. */
	configure({routes, tenants, engineModels = {}}: CaseConfiguration): void {
		this.version += 1;
		const services = [...new Set(routes.map(({service}) => service))];
		this.store.put('config', 'main', {
			version: this.version,
			routes: routes.map(route => buildRoute(route)),
			services: services.map(service => buildService(service, engineModels[service])),
			limits: {
				'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
			},
			tenants: tenants.map(tenant => buildTenant(tenant)),
		});
		this.record.note('configuration acknowledged', {version: this.version, keys: tenants.flatMap(({keys}) => keys).join(',')});
	}

	/** Starts a worker and registers it. */
	async startTarget(options: Omit<CaseTargetOptions, 'record' | 'zone'>): Promise<CaseTarget> {
		const target: CaseTarget = new CaseTarget({
			...options, zone: zones[this.targets.length % zones.length]!, record: this.record,
			onChange: () => {
				this.announce(target);
			},
		});
		await target.listen();
		this.targets.push(target);
		this.announce(target);
		return target;
	}

	/** Writes the entry of a worker to the store. */
	announce(target: CaseTarget): void {
		this.store.put('servers', target.options.id, target.buildEntry());
	}

	/**
	 * Starts gateways and waits until all are ready. `openStore` returns the address of the store for the gateway at a host; by
	 * default, all use one path.
	 */
	async startGateways(count: number, openStore?: (host: string) => Promise<string>): Promise<void> {
		const network = `127.${1 + Math.floor(Math.random() * 250)}.${process.pid % 250}`;
		const hosts = Array.from({length: count}, (_, index) => `${network}.${index + 1}`);
		const sharedAddress = await this.storePath.listen();
		for (const [index, host] of hosts.entries()) {
			this.gateways.push(new SoakInstance({
				name: `g${index}`, host, zone: zones[index % zones.length]!, seedHosts: hosts.slice(0, 3), directory: this.directory,
				storeAddress: await openStore?.(host) ?? sharedAddress,
				onCrash: detail => {
					this.record.note('gateway ended by itself', {detail});
				},
			}));
		}

		await Promise.all(this.gateways.map(async gateway => gateway.start()));
		await Promise.all(this.gateways.map(async gateway => waitUntilReady(gateway)));
		this.record.note('gateways ready', {count});
	}

	/** Ends all processes and servers that were started. */
	async close(): Promise<void> {
		await Promise.all(this.gateways.map(async gateway => gateway.close()));
		for (const target of this.targets) {
			target.close();
		}

		this.storePath?.close();
		this.store?.close();
	}
}

function buildRoute(route: CaseRoute): unknown {
	const {prefix, kind, service} = route;
	return {
		name: prefix, host: caseHost, 'path-prefix': prefix, kind, service, priority: 1, 'target-latency-ms': 300,
		'timeout-ms': route.timeoutMs ?? defaultTimeoutMs, 'max-attempts': route.attempts ?? 1,
	};
}

function buildService(name: string, model: string | undefined): unknown {
	return {
		name, 'max-connections': 200,
		...(model !== undefined && {engine: {slots: 64, 'kv-capacity-tokens': 100_000, models: [{name: model}]}}),
	};
}

function buildTenant({name, keys, isIsolated = false}: CaseTenant): unknown {
	return {
		name, 'api-keys': keys, 'rate-per-s': 0, burst: 0, isolated: isIsolated,
	};
}

async function waitUntilReady({options: {host, name}}: SoakInstance): Promise<void> {
	const end = Date.now() + readyTimeoutMs;
	while (Date.now() < end) {
		try {
			const answer = await fetch(`http://${host}:${readinessPort}/-/readyz`);
			if (answer.status === 200) {
				return;
			}
		} catch {
			// The process does not listen yet.
		}

		await delay(readyCheckMs);
	}

	throw new Error(`gateway ${name} is not ready after ${readyTimeoutMs} ms`);
}
