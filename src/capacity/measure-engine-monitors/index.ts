/** Memory of engine monitors, per engine, without cached blocks. */

import {never} from 'most';
import {SystemClock} from '../../clock/clock/index.js';
import type {ResolvedTarget} from '../../configuration/configuration/index.js';
import type {
	DataCentreId, FleetId, Incarnation, ModelId, TargetId,
} from '../../identity/ids/index.js';
import {createLogger} from '../../logging/create-logger/index.js';
import type {EngineClient, EngineState} from '../../targets/engine-client/index.js';
import {EngineMonitor} from '../../targets/engine-monitor/index.js';
import {createMeasurement, type Measurement} from '../measurement/index.js';
import {measureHeap} from '../measure-heap/index.js';

const engineCounts = [14, 1500, 6000, 12_000];

/** Measures bytes per monitored engine, without connections. */
export async function measureEngineMonitors(): Promise<Measurement[]> {
	const points = [];
	for (const size of engineCounts) {
		points.push({size, value: await measureHeap(() => Array.from({length: size}, (_, index) => createMonitor(index)))});
	}

	return [createMeasurement('engine-monitor-memory', 'following engines without their blocks, per engine', 'bytes per engine', points)];
}

function createMonitor(index: number): EngineMonitor {
	const clock = new SystemClock();
	const monitor = new EngineMonitor(createTarget(index), createUnusedClient(), clock, createLogger({}, true));
	monitor.applyState(createState(index), clock.readMonotonic());
	return monitor;
}

function createTarget(index: number): ResolvedTarget {
	return {
		id: `worker-${index}` as TargetId, fleet: 'north' as FleetId, dataCentre: `centre-${index % 15}` as DataCentreId, type: 'engine',
		address: `10.0.${Math.floor(index / 250)}.${index % 250}:8000`, models: ['assistant' as ModelId], checksFencing: false,
		role: 'mixed', state: 'live',
	};
}

/** Creates the state through JSON, as a polled state is. */
function createState(index: number): EngineState {
	const text = JSON.stringify({
		incarnation: `incarnation-${index}` as Incarnation, role: 'mixed', isLeaving: false,
		models: Array.from({length: 4}, (_, model) => ({base: `base-${model}`, weightsVersion: 'v1', state: 'ready'})),
		load: {
			running: 3, waiting: 0, slots: 16, pendingPrefillTokens: 1000, ageMs: 250,
		},
	});
	return JSON.parse(text) as EngineState;
}

function createUnusedClient(): EngineClient {
	const rejectCall = async () => {
		throw new Error('unexpected call of the engine client');
	};

	return {
		complete: rejectCall, resume: rejectCall, cancel: rejectCall, readState: rejectCall, readBlocks: rejectCall, sendOrder: rejectCall,
		watchCacheEvents: () => never(),
		async drain() {
			// There is no connection.
		},
		async close() {
			// There is no connection.
		},
	};
}
