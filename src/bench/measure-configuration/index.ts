/**
 * Measures how long a change of a key takes until every daemon answers by it, on connections that
 * stay open, and how many calls of the object API that costs. It prints one JSON line per fleet size.
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
const pollMs = 5;
const changeTimeoutMs = 30_000;
const readyTimeoutMs = 60_000;
const pauseMs = 150;
const idleMs = 10_000;
const msPerSecond = 1000;

type Calls = {readonly read: number; readonly write: number; readonly watch: number};
type Rates = Record<keyof Calls, number>;

/** Result for one fleet size. Times are in milliseconds from the answer to the operator's write. */
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
	private readonly started: StartedProcess[] = [];
	private clients: Client[] = [];
	private directory = '';
	private store = '';

	constructor(private readonly instances: number, private readonly dataCentres: number) {}

	async start(): Promise<void> {
		this.directory = await mkdtemp(join(tmpdir(), 'laburnumturn-configuration-'));
		const objectApi = await startProcess('standin', ['object-api']);
		this.started.push(objectApi);
		this.store = objectApi.address;
		const ports = await reservePorts(3 * this.instances);
		const addresses = Array.from({length: this.instances}, (_, index) => ports.slice(3 * index, (3 * index) + 3).map(port => `127.0.0.1:${port}`));
		await this.writeResources();
		const daemons = await Promise.all(addresses.map(async (own, index) => this.startDaemon(own, index, addresses.slice(0, 3).map(other => other[1]!))));
		this.started.push(...daemons);
		this.clients = daemons.map(daemon => new Client(`http://${daemon.address}`));
		await this.waitForAll(200, readyTimeoutMs);
	}

	async stop(): Promise<void> {
		await Promise.all(this.clients.map(async client => client.destroy()));
		await Promise.all(this.started.map(async started => started.end('SIGKILL')));
		await rm(this.directory, {recursive: true, force: true});
	}

	async measure(changes: number): Promise<Measurement> {
		const one = build();
		const all = build();
		await pause(idleMs);
		const idle = await this.countCalls(idleMs, async () => pause(idleMs));
		const start = performance.now();
		const changing = await this.countCalls(0, async () => this.change(changes, one, all));
		const seconds = (performance.now() - start) / msPerSecond;
		return {
			instances: this.instances, dataCentres: this.dataCentres, changes,
			oneInstance: describe(one), allInstances: describe(all), idleCallsPerSecond: idle,
			callsPerChange: mapRates(kind => ((changing[kind] - (idle[kind] * seconds)) / changes)),
		};
	}

	/** Withdraws the key and makes it active again in turn. */
	private async change(changes: number, one: Histogram, all: Histogram): Promise<void> {
		const api = new HttpObjectApi({origin: `http://${this.store}`});
		for (let change = 0; change < changes; change += 1) {
			const state = change % 2 === 0 ? 'withdrawn' : 'active';
			const {value, resourceVersion} = await api.get<KeyResource>('keys', 'almaty.measured');
			await api.update('keys', 'almaty.measured', {...value, state}, resourceVersion);
			const times = await this.waitForAll(state === 'active' ? 200 : 401, changeTimeoutMs);
			for (const time of times) {
				one.recordValue(Math.max(1, Math.round(time)));
			}

			all.recordValue(Math.max(1, Math.round(Math.max(...times))));
			await pause(pauseMs);
		}

		await api.close();
	}

	/** Waits until each instance answers with `status`; returns the times. */
	private async waitForAll(status: number, timeoutMs: number): Promise<number[]> {
		const start = performance.now();
		return Promise.all(this.clients.map(async client => {
			while (performance.now() - start < timeoutMs) {
				const answer = await client.request({method: 'GET', path: '/v1/models', headers: {authorization: `Bearer ${secret}`}});
				await answer.body.dump();
				if (answer.statusCode === status) {
					return performance.now() - start;
				}

				await pause(pollMs);
			}

			throw new VError('no status %d within %d ms', status, timeoutMs);
		}));
	}

	/** Counts calls of the object API while `work` runs; per second when `overMs` is given. */
	private async countCalls(overMs: number, work: () => Promise<void>): Promise<Rates> {
		const read = async () => fetchJson<Calls>(`http://${this.store}/calls`, {timeoutMs: msPerSecond});
		const before = await read();
		await work();
		const after = await read();
		return mapRates(kind => (after[kind] - before[kind]) / (overMs === 0 ? 1 : overMs / msPerSecond));
	}

	private async startDaemon([caller, peer, admin]: readonly string[], index: number, seeds: readonly string[]): Promise<StartedProcess> {
		const dataCentre = `dc-${index % this.dataCentres}`;
		const settings = {
			instance: `entry-${String(index).padStart(2, '0')}`, fleet: 'almaty', dataCentre, seeds,
			listen: {caller, peer, admin}, platform: {objectApi: `http://${this.store}`},
		};
		const file = join(this.directory, `${settings.instance}.jsonc`);
		await writeFile(file, JSON.stringify(settings));
		return startProcess('laburnumturnd', ['--settings', file]);
	}

	private async writeResources(): Promise<void> {
		const api = new HttpObjectApi({origin: `http://${this.store}`});
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

function describe(histogram: Histogram): {p50: number; p99: number; max: number} {
	return {p50: histogram.getValueAtPercentile(50), p99: histogram.getValueAtPercentile(99), max: histogram.maxValue};
}

function mapRates(read: (kind: keyof Calls) => number): Rates {
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
	description: 'measure the time from a write to in force everywhere, for fleets of daemons',
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
