/** Processor time of a call between two daemons over loopback, both ends. */

import type {InstanceId} from '../../identity/ids/index.js';
import {PeerClient} from '../../peers/peer-client/index.js';
import {PeerServer} from '../../peers/peer-server/index.js';
import {reservePorts} from '../../process/reserve-ports/index.js';
import {createMeasurement, type Measurement} from '../measurement/index.js';
import {measureProcessorTime} from '../measure-processor-time/index.js';

const callCounts = [1000, 2000, 4000];
const warmUpCalls = 2000;
const timeoutMs = 2000;
const microsecondsPerMs = 1000;
const callee = 'entry-1' as InstanceId;

/** Measures calls with bodies as large as those of a budget exchange for one organisation. */
export async function measurePeerCalls(): Promise<Measurement[]> {
	const [port] = await reservePorts(1);
	const address = `127.0.0.1:${port}`;
	const server = new PeerServer(callee);
	server.register('measure.echo', async parameters => parameters);
	await server.listen(address);
	const client = new PeerClient({self: 'entry-0' as InstanceId, findPeerAddress: () => address});
	await sendCalls(client, warmUpCalls);
	const points = [];
	for (const size of callCounts) {
		points.push({size, value: await measureProcessorTime(async () => sendCalls(client, size)) * microsecondsPerMs});
	}

	await client.close();
	await server.close();
	return [createMeasurement('peer-call-time', 'a call between daemons, both ends', 'µs per call', points)];
}

async function sendCalls(client: PeerClient, count: number): Promise<void> {
	const parameters = {text: 'x'.repeat(300)};
	for (let index = 0; index < count; index += 1) {
		await client.call(callee, 'measure.echo', parameters, timeoutMs);
	}
}
