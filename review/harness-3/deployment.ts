/**
 * A small deployment of a case: the store's stand-in, gateway processes started with the command of the deploy file, and the
 * operator's configuration. Each process has a loopback address of its own.
 */

import {randomInt} from 'node:crypto';
import {existsSync, mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {startStoreServer, type StoreServer} from '../../platform/fixtures/start-store-server/index.js';
import {waitUntilReady} from '../../platform/soak/wait-until-ready/index.js';
import {SoakInstance} from '../../src/soak/soak-instance/index.js';
import type {CaseRecord} from './record.js';

const gatewayProgram = 'target/gateway.cjs';
/** Host of all routes. */
export const callerHost = 'jepu9.example';
/** Memory and descriptors of a machine, as the sheet of gnomeworks-ala has them. */
export const machine = {memoryMb: 200, descriptors: 4100} as const;
/** Time from the start of the processes to the first call, in milliseconds; as on the sheets. */
const leadMs = 12_000;

/** What the operator configures. */
export type DeploymentOptions = {
	readonly instances: number;
	readonly routes: readonly unknown[];
	readonly services: readonly unknown[];
	/** None by default, so that calls need no key. */
	readonly tenants?: readonly unknown[];
	readonly record: CaseRecord;
};

/** A deployment that runs. */
export type Deployment = {
	readonly store: StoreServer;
	readonly instances: readonly SoakInstance[];
	/** Processes that ended although nothing stopped them, in order. */
	readonly ends: readonly string[];
	/** Writes a new configuration with other tenants. */
	configure(tenants: readonly unknown[]): void;
	close(): Promise<void>;
};

/** Starts a deployment. Targets have to be listed in its store with `listTarget`. */
export async function startDeployment({instances: count, routes, services, tenants = [], record}: DeploymentOptions): Promise<Deployment> {
	if (!existsSync(gatewayProgram)) {
		throw new Error(`${gatewayProgram} is missing; run the build of the deploy file`);
	}

	const directory = mkdtempSync(join(tmpdir(), 'case-'));
	const store = await startStoreServer();
	let version = 0;
	const configure = (newTenants: readonly unknown[]) => {
		version += 1;
		store.put('config', 'main', {
			version, routes, services, tenants: newTenants,
			limits: {
				'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
			},
		});
	};

	configure(tenants);
	const ends: string[] = [];
	const network = `127.${randomInt(100, 250)}.${randomInt(1, 250)}`;
	const hosts = Array.from({length: count}, (_, index) => `${network}.${index + 1}`);
	const instances = hosts.map((host, index) => new SoakInstance({
		name: `edge-${index + 1}`, host, zone: `zone-${index + 1}`, seedHosts: hosts, directory, storeAddress: store.address,
		settings: {...machine, capacity: {coreShare: 0.675, cores: 1, linkMegabitsPerSecond: 1000}},
		onCrash(detail) {
			ends.push(detail);
			record.write(`process end: ${detail}`);
		},
	}));
	await Promise.all(instances.map(async instance => instance.start()));
	return {
		store, instances, ends, configure,
		async close() {
			await Promise.all(instances.map(async instance => instance.close()));
			store.close();
			rmSync(directory, {recursive: true, force: true});
		},
	};
}

/** Waits until all processes are ready and the lead before the traffic has passed. */
export async function waitForTraffic({instances}: Deployment): Promise<void> {
	await Promise.all(instances.map(async instance => waitUntilReady(instance)));
	await delay(leadMs);
}

/** A target as it lists itself. */
export type ListedTarget = {readonly id: string; readonly service: string; readonly address: string; readonly model?: string};

/** Lists a target in the store. */
export function listTarget({store}: Deployment, {id, service, address, model}: ListedTarget): void {
	store.put('servers', id, {
		service, address, zone: 'zone-1', version: '1', slots: 64, state: 'ready', 'cold-remaining-ms': 0, sequence: 1, born: Date.now(), stage: 'colocated',
		...(model !== undefined && {models: [{name: model, version: 1, adapters: []}]}),
	});
}
