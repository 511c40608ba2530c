/** Bytes and processor time of one configuration change, by the number of organisations. */

import {
	Configuration, type ConfigurationData, type ResolvedKey, type ResolvedOrganisation,
} from '../../configuration/configuration/index.js';
import {joinParts, splitConfiguration, type PartContent} from '../../configuration/split-configuration/index.js';
import type {FleetId, OrganisationId, Revision} from '../../identity/ids/index.js';
import {hashKey} from '../../keys/hash-key/index.js';
import type {Point} from '../fit-line/index.js';
import {createMeasurement, type Measurement} from '../measurement/index.js';
import {measureProcessorTime} from '../measure-processor-time/index.js';

const organisationCounts = [10, 100, 1300, 2600];
const keysPerOrganisation = 2;
const measuredRuns = 20;
const warmUpRuns = 10;

/** Measures the withdrawal of one key: the bytes that an instance receives, and the processor time of that instance and of the acceptor. */
export async function measureConfigurationChange(): Promise<Measurement[]> {
	const bytePoints: Point[] = [];
	const followerTimePoints: Point[] = [];
	const acceptorTimePoints: Point[] = [];
	for (const size of organisationCounts) {
		const before = createData(size);
		const after = withdrawFirstKey(before);
		const partsBefore = splitConfiguration(before);
		const partsAfter = splitConfiguration(after);
		bytePoints.push({size, value: countChangedBytes(partsBefore, partsAfter)});
		acceptorTimePoints.push({size, value: await measureMeanMs(() => splitConfiguration(after))});
		followerTimePoints.push({size, value: await measureMeanMs(() => new Configuration(2 as Revision, joinParts(partsAfter.values())))});
	}

	return [
		createMeasurement('change-bytes', 'one change, head and changed parts', 'bytes per organisation', bytePoints),
		createMeasurement('change-follow-time', 'one change, joining and indexing at each instance', 'ms per organisation', followerTimePoints),
		createMeasurement('change-accept-time', 'one change, splitting and hashing at the acceptor', 'ms per organisation', acceptorTimePoints),
	];
}

async function measureMeanMs(run: () => unknown): Promise<number> {
	const createLoop = (count: number) => () => {
		for (let index = 0; index < count; index += 1) {
			run();
		}
	};

	createLoop(warmUpRuns)();
	return await measureProcessorTime(createLoop(measuredRuns)) / measuredRuns;
}

function countChangedBytes(partsBefore: ReadonlyMap<string, PartContent>, partsAfter: ReadonlyMap<string, PartContent>): number {
	const changedParts = [...partsAfter].filter(([hash]) => !partsBefore.has(hash)).map(([, content]) => content);
	return JSON.stringify([...partsAfter.keys()]).length + JSON.stringify(changedParts).length;
}

function createData(organisationCount: number): ConfigurationData {
	const indexes = Array.from({length: organisationCount}, (_, index) => index);
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
