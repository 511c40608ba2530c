/** Bytes and processor time of one change of the configuration, by the number of organisations. */

import {
	Configuration, type ConfigurationData, type ResolvedKey, type ResolvedOrganisation,
} from '../../configuration/configuration/index.js';
import {joinParts, splitConfiguration, type PartContent} from '../../configuration/split-configuration/index.js';
import type {FleetId, OrganisationId, Revision} from '../../identity/ids/index.js';
import {hashKey} from '../../keys/hash-key/index.js';
import type {Point} from '../fit-line/index.js';
import {createMeasurement, type Measurement} from '../measurement/index.js';
import {measureProcessorTime} from '../measure-processor-time/index.js';

const organisationSizes = [10, 100, 1300, 2600];
const keysPerOrganisation = 2;
const repetitions = 20;
const warmUps = 10;

/** Measures what a follower receives and computes for the withdrawal of one key, and what the acceptor computes. */
export async function measureConfigurationChange(): Promise<Measurement[]> {
	const bytes: Point[] = [];
	const follow: Point[] = [];
	const accept: Point[] = [];
	for (const size of organisationSizes) {
		const before = createData(size);
		const after = withdrawFirstKey(before);
		const known = splitConfiguration(before);
		const changed = splitConfiguration(after);
		bytes.push({size, value: countChangedBytes(known, changed)});
		accept.push({size, value: await measureMean(() => splitConfiguration(after))});
		follow.push({size, value: await measureMean(() => new Configuration(2 as Revision, joinParts(changed.values())))});
	}

	return [
		createMeasurement('change-bytes', 'one change, head and changed parts', 'bytes per organisation', bytes),
		createMeasurement('change-follow-time', 'one change, joining and indexing at each instance', 'ms per organisation', follow),
		createMeasurement('change-accept-time', 'one change, splitting and hashing at the acceptor', 'ms per organisation', accept),
	];
}

async function measureMean(run: () => unknown): Promise<number> {
	const repeat = (count: number) => () => {
		for (let index = 0; index < count; index += 1) {
			run();
		}
	};

	repeat(warmUps)();
	return await measureProcessorTime(repeat(repetitions)) / repetitions;
}

function countChangedBytes(known: ReadonlyMap<string, PartContent>, changed: ReadonlyMap<string, PartContent>): number {
	const parts = [...changed].filter(([hash]) => !known.has(hash)).map(([, content]) => content);
	return JSON.stringify([...changed.keys()]).length + JSON.stringify(parts).length;
}

function createData(organisations: number): ConfigurationData {
	const indexes = Array.from({length: organisations}, (_, index) => index);
	return {
		organisations: indexes.map(createOrganisation),
		keys: indexes.flatMap(index => Array.from({length: keysPerOrganisation}, (_, key) => createKey(index, key))),
		models: [], routes: [], targets: [],
	};
}

function createOrganisation(index: number): ResolvedOrganisation {
	return {
		id: `organisation-${index}` as OrganisationId, tokensPerSecond: 1000, burstTokens: 10_000, weight: 1,
	};
}

function createKey(index: number, key: number): ResolvedKey {
	const name = `key-${index}-${key}`;
	return {
		hash: hashKey(name), name, fleet: 'north' as FleetId, organisation: `organisation-${index}` as OrganisationId, state: 'active',
	};
}

function withdrawFirstKey(data: ConfigurationData): ConfigurationData {
	return {...data, keys: data.keys.map((key, index) => index === 0 ? {...key, state: 'withdrawn'} : key)};
}
