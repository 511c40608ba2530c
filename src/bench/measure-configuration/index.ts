/**
 * Measures how long a key change takes to reach every daemon, observed on persistent connections,
 * and how many object API calls it causes. Prints one JSON line per fleet size.
 */

import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {
	command, number, option, run, string,
} from 'cmd-ts';
import {build, type Histogram} from 'hdr-histogram-js';
import {Client} from 'undici';
import VError from 'verror';
import {fetchJson} from '../../http/fetch-json/index.js';
import {hashKey} from '../../keys/hash-key/index.js';
import {HttpObjectApi} from '../../store/http-object-api/index.js';
import {reservePorts} from '../../process/reserve-ports/index.js';
import {startProcess, type StartedProcess} from '../../process/start-process/index.js';
import {
	collectionByKind, formatObjectName, type KeyResource, type Resource,
} from '../../resources/schemas/index.js';

const secret = 'measured-secret';
const pollIntervalMs = 5;
const changeTimeoutMs = 30_000;
const readyTimeoutMs = 60_000;
const changePauseMs = 150;
const idlePeriodMs = 10_000;
const msPerSecond = 1000;

type Calls = {readonly read: number; readonly write: number; readonly watch: number};
type Rates = Record<keyof Calls, number>;

/** Result for one fleet size. Times are in milliseconds since the object API answered the write. */
type Measurement = {
	readonly instances: number;
	readonly dataCentres: number;
	readonly changes: number;
	readonly oneInstance: {readonly p50: number; readonly p99: number; readonly max: number};
	readonly allInstances: {readonly p50: number; readonly p99: number; readonly max: number};
	readonly idleCallsPerSecond: Rates;
	readonly callsPerChange: Rates;
};

class MeasuredFleet {
	private readonly startedProcesses: StartedProcess[] = [];
	private clients: Client[] = [];
	private directory = '';
	private objectApiAddress = '';

	constructor(private readonly instances: number, private readonly dataCentres: number) {}

	async start(): Promise<void> {
		this.directory = await mkdtemp(join(tmpdir(), 'laburnumturn-configuration-'));
		const objectApi = await startProcess('standin', ['object-api']);
		this.startedProcesses.push(objectApi);
		this.objectApiAddress = objectApi.address;
		const ports = await reservePorts(3 * this.instances);
		const addresses = Array.from({length: this.instances}, (_, index) => ports.slice(3 * index, (3 * index) + 3).map(port => `127.0.0.1:${port}`));
		await this.writeResources();
		const daemons = await Promise.all(addresses.map(async (own, index) => this.startDaemon(own, index, addresses.slice(0, 3).map(other => other[1]!))));
		this.startedProcesses.push(...daemons);
		this.clients = daemons.map(daemon => new Client(`http://${daemon.address}`));
		await this.waitForStatus(200, readyTimeoutMs);
	}

	async stop(): Promise<void> {
		await Promise.all(this.clients.map(async client => client.destroy()));
		await Promise.all(this.startedProcesses.map(async startedProcess => startedProcess.end('SIGKILL')));
		await rm(this.directory, {recursive: true, force: true});
	}

	async measure(changes: number): Promise<Measurement> {
		const instanceTimes = build();
		const slowestTimes = build();
		await pause(idlePeriodMs);
		const idle = await this.countCalls(idlePeriodMs, async () => pause(idlePeriodMs));
		const start = performance.now();
		const callsDuringChanges = await this.countCalls(0, async () => this.measureChanges(changes, instanceTimes, slowestTimes));
		const seconds = (performance.now() - start) / msPerSecond;
		return {
			instances: this.instances, dataCentres: this.dataCentres, changes,
			oneInstance: summariseHistogram(instanceTimes), allInstances: summariseHistogram(slowestTimes), idleCallsPerSecond: idle,
			callsPerChange: mapCallKinds(kind => ((callsDuringChanges[kind] - (idle[kind] * seconds)) / changes)),
		};
	}

	/** Alternately withdraws the key and activates it again, and records the times until it took effect. */
	private async measureChanges(changes: number, instanceTimes: Histogram, slowestTimes: Histogram): Promise<void> {
		const api = new HttpObjectApi({origin: `http://${this.objectApiAddress}`});
		for (let change = 0; change < changes; change += 1) {
			const state = change % 2 === 0 ? 'withdrawn' : 'active';
			const {value, resourceVersion} = await api.get<KeyResource>('keys', 'almaty.measured');
			await api.update('keys', 'almaty.measured', {...value, state}, resourceVersion);
			const times = await this.waitForStatus(state === 'active' ? 200 : 401, changeTimeoutMs);
			for (const time of times) {
				instanceTimes.recordValue(Math.max(1, Math.round(time)));
			}

			slowestTimes.recordValue(Math.max(1, Math.round(Math.max(...times))));
			await pause(changePauseMs);
		}

		await api.close();
	}

	/** Waits until each instance answers with `status`, and returns the time that each one took. */
	private async waitForStatus(status: number, timeoutMs: number): Promise<number[]> {
		const start = performance.now();
		return Promise.all(this.clients.map(async client => {
			while (performance.now() - start < timeoutMs) {
				const answer = await client.request({method: 'GET', path: '/v1/models', headers: {authorization: `Bearer ${secret}`}});
				await answer.body.dump();
				if (answer.statusCode === status) {
					return performance.now() - start;
				}

				await pause(pollIntervalMs);
			}

			throw new VError('instance did not answer with status %d within %d ms', status, timeoutMs);
		}));
	}

	/** Counts object API calls while `action` runs: per second of `periodMs`, or in total if that is 0. */
	private async countCalls(periodMs: number, action: () => Promise<void>): Promise<Rates> {
		const read = async () => fetchJson<Calls>(`http://${this.objectApiAddress}/calls`, {timeoutMs: msPerSecond});
		const before = await read();
		await action();
		const after = await read();
		return mapCallKinds(kind => (after[kind] - before[kind]) / (periodMs === 0 ? 1 : periodMs / msPerSecond));
	}

	private async startDaemon([caller, peer, admin]: readonly string[], index: number, seeds: readonly string[]): Promise<StartedProcess> {
		const dataCentre = `dc-${index % this.dataCentres}`;
		const settings = {
			instance: `entry-${String(index).padStart(2, '0')}`, fleet: 'almaty', dataCentre, seeds,
			listen: {caller, peer, admin}, platform: {objectApi: `http://${this.objectApiAddress}`},
		};
		const file = join(this.directory, `${settings.instance}.jsonc`);
		await writeFile(file, JSON.stringify(settings));
		return startProcess('laburnumturnd', ['--settings', file]);
	}

	private async writeResources(): Promise<void> {
		const api = new HttpObjectApi({origin: `http://${this.objectApiAddress}`});
		for (const resource of createResources()) {
			await api.create(collectionByKind[resource.kind], formatObjectName(resource), resource);
		}

		await api.close();
	}
}

function createResources(): Resource[] {
	const organisations = Array.from({length: 10}, (_, index): Resource => ({
		kind: 'Organisation', fleet: 'almaty', name: `organisation-${index}`, tokensPerSecond: 1000, burstTokens: 2000, weight: 1,
	}));
	return [...organisations, {
		kind: 'Key', fleet: 'almaty', name: 'measured', organisation: 'organisation-0', sha256: hashKey(secret), state: 'active',
	}];
}

function summariseHistogram(histogram: Histogram): {p50: number; p99: number; max: number} {
	return {p50: histogram.getValueAtPercentile(50), p99: histogram.getValueAtPercentile(99), max: histogram.maxValue};
}

function mapCallKinds(read: (kind: keyof Calls) => number): Rates {
	const round = (value: number) => Math.round(value * 100) / 100;
	return {read: round(read('read')), write: round(read('write')), watch: round(read('watch'))};
}

async function pause(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

await run(command({
	name: 'measure-configuration',
	description: 'measure the time from a write until every daemon applies it, by fleet size',
	args: {
		sizes: option({
			type: string, long: 'sizes', defaultValue: () => '9x3,17x6', description: 'instances x data centres',
		}),
		changes: option({type: number, long: 'changes', defaultValue: () => 100}),
	},
	async handler({sizes, changes}) {
		for (const size of sizes.split(',')) {
			const [instances, dataCentres] = size.split('x').map(Number);
			const fleet = new MeasuredFleet(instances!, dataCentres!);
			try {
				await fleet.start();
				process.stdout.write(`${JSON.stringify(await fleet.measure(changes))}\n`);
			} finally {
				await fleet.stop();
			}
		}
	},
}), process.argv.slice(2));
