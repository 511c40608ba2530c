/** Starts stand-in engines and daemons as processes for one cell of the benchmark. */

import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {hashKey} from '../../keys/hash-key/index.js';
import {HttpObjectApi} from '../../store/http-object-api/index.js';
import type {PlacementStrategy} from '../../placement/create-placement/index.js';
import {reservePorts} from '../../process/reserve-ports/index.js';
import {startProcess, type StartedProcess} from '../../process/start-process/index.js';
import {collectionByKind, formatObjectName, type Resource} from '../../resources/schemas/index.js';
import {traceOrganisations} from '../generate-trace/index.js';
import {waitUntilServing} from '../wait-until-serving/index.js';

/** Size and speed of the fleet. */
export type FleetOptions = {
	readonly strategy: PlacementStrategy;
	readonly hashedPieces: number;
	readonly engines: number;
	readonly instances: number;
	readonly cacheBlocks: number;
	readonly prefillTokensPerMs: number;
	readonly decodeMsPerToken: number;
	readonly slots: number;
	readonly eventLoss: number;
	/** Prefill work at an engine above which requests wait at the entry instance. */
	readonly engineBacklogMs: number;
};

/** A running fleet. */
export type Fleet = {
	/** `host:port` of the daemons' caller listeners. */
	readonly entries: readonly string[];
	/** `host:port` of the engines. */
	readonly engines: readonly string[];
	stop(): Promise<void>;
};

/** Rate and burst of every organisation. Far above the load, so that the queue limits requests and not the budget. */
export const organisationBudget = {tokensPerSecond: 50_000_000, burstTokens: 100_000_000} as const;

const readyTimeoutMs = 20_000;
const dataCentreCount = 3;

/** Secret of an organisation's key. */
export function formatSecret(organisation: string): string {
	return `bench-secret-${organisation}`;
}

/** Starts a fleet and waits until every daemon serves. */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
	const directory = await mkdtemp(join(tmpdir(), 'laburnumturn-bench-'));
	const startedProcesses: StartedProcess[] = [];
	const start = async (name: 'standin' | 'laburnumturnd', programArguments: readonly string[]) => {
		const startedProcess = await startProcess(name, programArguments);
		startedProcesses.push(startedProcess);
		return startedProcess;
	};

	const stop = async () => {
		await Promise.all(startedProcesses.map(async startedProcess => startedProcess.end('SIGKILL')));
		await rm(directory, {recursive: true, force: true});
	};

	try {
		const objectApi = await start('standin', ['object-api']);
		const [engines, entries] = await Promise.all([
			Promise.all(Array.from({length: options.engines}, async () => start('standin', formatEngineArguments(options)))),
			startDaemons(objectApi.address, directory, options, start),
		]);
		const addresses = engines.map(engine => engine.address);
		await writeResources(objectApi.address, addresses);
		const secret = formatSecret(traceOrganisations[0]!.name);
		await Promise.all(entries.map(async address => waitUntilServing({address, secret, timeoutMs: readyTimeoutMs})));
		return {entries, engines: addresses, stop};
	} catch (error) {
		await stop();
		throw error;
	}
}

function formatEngineArguments(options: FleetOptions): string[] {
	const numericOptions = {
		slots: options.slots, 'prefill-tokens-per-ms': options.prefillTokensPerMs, 'decode-ms-per-token': options.decodeMsPerToken,
		'cache-blocks': options.cacheBlocks, 'event-loss': options.eventLoss,
	};
	return ['engine', '--model', 'base@v1', ...Object.entries(numericOptions).flatMap(([name, value]) => [`--${name}`, String(value)])];
}

async function startDaemons(
	objectApi: string,
	directory: string,
	options: FleetOptions,
	start: (name: 'laburnumturnd', programArguments: readonly string[]) => Promise<StartedProcess>,
): Promise<string[]> {
	const ports = await reservePorts(3 * options.instances);
	const seeds = Array.from({length: options.instances}, (_, index) => `127.0.0.1:${ports[(3 * index) + 1]}`);
	return Promise.all(seeds.map(async (_, index) => {
		const [caller, peer, admin] = ports.slice(3 * index, (3 * index) + 3).map(port => `127.0.0.1:${port}`);
		const file = join(directory, `entry-${index}.jsonc`);
		await writeFile(file, JSON.stringify({
			instance: `entry-${index}`, fleet: 'north', dataCentre: `north-${index % dataCentreCount}`, seeds,
			listen: {caller, peer, admin}, platform: {objectApi: `http://${objectApi}`},
			placement: {
				strategy: options.strategy, hashedPieces: options.hashedPieces,
				prefillTokensPerMs: options.prefillTokensPerMs, engineBacklogMs: options.engineBacklogMs,
			},
		}));
		await start('laburnumturnd', ['--settings', file]);
		return caller!;
	}));
}

async function writeResources(objectApi: string, engines: readonly string[]): Promise<void> {
	const organisations = traceOrganisations.flatMap(({name}): Resource[] => [
		{
			kind: 'Organisation', fleet: 'north', name, ...organisationBudget, weight: 1,
		},
		{
			kind: 'Key', fleet: 'north', name, organisation: name, sha256: hashKey(formatSecret(name)), state: 'active',
		},
	]);
	const targets = engines.map((address, index): Resource => ({
		kind: 'Target', fleet: 'north', name: `worker-${index}`, dataCentre: `north-${index % dataCentreCount}`, type: 'engine', address,
		models: ['assistant'], checksFencing: true, role: 'mixed', state: 'live',
	}));
	const model: Resource = {
		kind: 'Model', fleet: 'north', name: 'assistant', base: 'base', weightsVersion: 'v1', deterministic: false,
	};
	const api = new HttpObjectApi({origin: `http://${objectApi}`});
	for (const resource of [...organisations, model, ...targets]) {
		await api.create(collectionByKind[resource.kind], formatObjectName(resource), resource);
	}

	await api.close();
}
