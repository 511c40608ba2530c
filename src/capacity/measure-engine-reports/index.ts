/** Processor time and bytes of polling the state of engines over HTTP. */

import {listenLocally} from '../../http/listen-locally/index.js';
import {HttpEngineClient} from '../../targets/http-engine-client/index.js';
import {EngineServer} from '../../standin/engine-server/index.js';
import {createMeasurement, type Measurement} from '../measurement/index.js';
import {measureProcessorTime} from '../measure-processor-time/index.js';

const pollCounts = [500, 1000, 2000];
const warmUpPolls = 2000;
const microsecondsPerMs = 1000;

/** Measures sequential polls. The engine runs in the same process, so the time is an upper bound for the router. */
export async function measureEngineReports(): Promise<Measurement[]> {
	const engine = new EngineServer({
		speed: {slots: 16, prefillTokensPerMs: 20, decodeMsPerToken: 5}, cacheBlocks: 10,
		models: Array.from({length: 4}, (_, index) => ({base: `base-${index}`, weightsVersion: 'v1', state: 'ready' as const})),
		checksFencing: true, loadLagMs: 250, eventLagMs: 0, loadMs: 0,
	});
	const address = await listenLocally(engine.server);
	const client = new HttpEngineClient({address});
	// Opens the connection and lets V8 compile the code before the first measurement.
	await sendPolls(client, warmUpPolls);
	const points = [];
	for (const size of pollCounts) {
		points.push({size, value: await measureProcessorTime(async () => sendPolls(client, size)) * microsecondsPerMs});
	}

	await client.close();
	engine.server.close();
	engine.server.closeAllConnections();
	return [createMeasurement('engine-report-time', 'polling an engine, both ends, per report', 'µs per report', points)];
}

async function sendPolls(client: HttpEngineClient, count: number): Promise<void> {
	for (let index = 0; index < count; index += 1) {
		await client.readState();
	}
}
