/** Cluster of real processes on the loopback address, for tests and measurements. */

import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import VError from 'verror';
import {request} from 'undici';
import {createDemoResources} from '../../demo/create-demo-resources/index.js';
import {HttpObjectApi} from '../../store/http-object-api/index.js';
import {collectionByKind, formatObjectName} from '../../resources/schemas/index.js';
import {reservePorts} from '../reserve-ports/index.js';
import {startProcess, type ProgramName, type StartedProcess} from '../start-process/index.js';

const pollIntervalMs = 20;
const readyTimeoutMs = 15_000;
const portsPerDaemon = 3;

/** Addresses of one daemon. They stay the same across restarts. */
export type DaemonAddresses = {readonly caller: string; readonly peer: string; readonly admin: string};

/** Options of a cluster. */
export type ClusterOptions = {
	/** Number of daemons. */
	readonly daemons: number;
	/** Settings that differ from the defaults, for all daemons. */
	readonly settings: Readonly<Record<string, unknown>>;
	/** Number of engines of fleet north; 1 by default. */
	readonly engines?: number;
	readonly engineArguments?: readonly string[];
};

/** Object API, engines of two fleets, a service and daemons, each in a process of its own. */
export class Cluster {
	readonly addresses: DaemonAddresses[] = [];
	readonly daemons: StartedProcess[] = [];
	/** Addresses of the engines, those of fleet north first. */
	readonly engines: string[] = [];
	/** Log lines of all processes. */
	readonly log: string[] = [];
	objectApi: StartedProcess | undefined;
	private readonly processes: StartedProcess[] = [];
	private directory = '';

	constructor(private readonly options: ClusterOptions) {}

	/** Starts all processes and waits until each daemon is ready. */
	async start(): Promise<void> {
		this.directory = await mkdtemp(join(tmpdir(), 'laburnumturn-cluster-'));
		const [objectApi, north, south, service] = await Promise.all([
			this.startProgram('standin', ['object-api']),
			this.startEngines('v1', this.options.engines ?? 1),
			this.startEngines('v2', 1),
			this.startProgram('standin', ['service']),
		]);
		this.objectApi = objectApi;
		this.engines.push(...north, ...south);
		await this.writeResources({north: {engines: north, service: service.address}, south: {engines: south, service: service.address}});
		const ports = await reservePorts(portsPerDaemon * this.options.daemons);
		for (let index = 0; index < this.options.daemons; index += 1) {
			const [caller, peer, admin] = ports.slice(portsPerDaemon * index, portsPerDaemon * (index + 1)).map(port => `127.0.0.1:${port}`);
			this.addresses.push({caller: caller!, peer: peer!, admin: admin!});
		}

		await Promise.all(this.addresses.map(async (_, index) => this.startDaemon(index)));
		await Promise.all(this.addresses.map(async (_, index) => this.waitUntilReady(index)));
	}

	/** Starts daemon `index`, or starts it again after it has ended. */
	async startDaemon(index: number): Promise<StartedProcess> {
		const file = join(this.directory, `entry-${index}.jsonc`);
		const settings = {
			instance: `entry-${index}`, fleet: 'north', dataCentre: `north-${index % 3}`, listen: this.addresses[index],
			platform: {objectApi: `http://${this.objectApi!.address}`}, seeds: this.addresses.map(address => address.peer),
			...this.options.settings,
		};
		await writeFile(file, JSON.stringify(settings));
		const daemon = await this.startProgram('laburnumturnd', ['--settings', file]);
		this.daemons[index] = daemon;
		return daemon;
	}

	/** Waits until daemon `index` reports itself ready. */
	async waitUntilReady(index: number): Promise<void> {
		const deadline = Date.now() + readyTimeoutMs;
		while (Date.now() < deadline) {
			if (await isReady(this.addresses[index]!.admin)) {
				return;
			}

			await new Promise(resolve => {
				setTimeout(resolve, pollIntervalMs);
			});
		}

		throw new VError('daemon %d did not become ready in time: %s', index, this.log.slice(-10).join('\n'));
	}

	/** Kills all processes of the cluster and removes its temporary directory. */
	async stop(): Promise<void> {
		await Promise.all(this.processes.map(async startedProcess => startedProcess.end('SIGKILL')));
		await rm(this.directory, {recursive: true, force: true});
	}

	private async startProgram(name: ProgramName, programArguments: readonly string[]): Promise<StartedProcess> {
		const startedProcess = await startProcess(name, programArguments, line => {
			this.log.push(line);
		});
		this.processes.push(startedProcess);
		return startedProcess;
	}

	private async startEngines(version: string, count: number): Promise<string[]> {
		const {engineArguments = []} = this.options;
		const starts = Array.from({length: count}, async () => this.startProgram('standin', ['engine', '--model', `base@${version}`, ...engineArguments]));
		const engines = await Promise.all(starts);
		return engines.map(engine => engine.address);
	}

	private async writeResources(targets: Parameters<typeof createDemoResources>[0]): Promise<void> {
		const api = new HttpObjectApi({origin: `http://${this.objectApi!.address}`});
		for (const resource of createDemoResources(targets)) {
			await api.create(collectionByKind[resource.kind], formatObjectName(resource), resource);
		}

		await api.close();
	}
}

async function isReady(address: string): Promise<boolean> {
	try {
		const response = await request(`http://${address}/readyz`);
		await response.body.dump();
		return response.statusCode === 200;
	} catch {
		return false;
	}
}
