/**
 * Measures the cost of heartbeats for each instance: bytes of bodies and processor time. Runs all
 * instances in one process, with real peer connections over loopback.
 */

import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {SystemClock} from '../../clock/clock/index.js';
import type {
	DataCentreId, FleetId, InstanceId, Revision,
} from '../../identity/ids/index.js';
import {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import {createLogger} from '../../logging/create-logger/index.js';
import {Membership} from '../../membership/membership/index.js';
import {PeerClient} from '../../peers/peer-client/index.js';
import {PeerServer} from '../../peers/peer-server/index.js';
import {reservePorts} from '../../process/reserve-ports/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import type {Point} from '../fit-line/index.js';
import {createMeasurement, type Measurement} from '../measurement/index.js';
import {measureProcessorTime} from '../measure-processor-time/index.js';

const instanceCounts = [9, 17, 35, 70];
const dataCentreCount = 3;
const settlingMs = 4000;
const measurementMs = 8000;
const msPerSecond = 1000;

type Traffic = {bytes: number};

async function startInstance(index: number, addresses: readonly string[], traffic: Traffic) {
	const clock = new SystemClock();
	const id = `entry-${String(index).padStart(3, '0')}` as InstanceId;
	const server = new PeerServer(id, (sentBytes, receivedBytes) => {
		traffic.bytes += sentBytes + receivedBytes;
	});
	const client: PeerClient = new PeerClient({
		self: id,
		findPeerAddress: peer => membership.findPeerAddress(peer),
		onTraffic({sentBytes, receivedBytes}) {
			traffic.bytes += sentBytes + receivedBytes;
		},
	});
	const membership = new Membership({
		identity: {
			id, fleet: 'north' as FleetId, region: 'east', dataCentre: `north-${index % dataCentreCount}` as DataCentreId,
			peerAddress: addresses[index]!, callerAddress: addresses[index]!,
		},
		seeds: addresses.slice(0, 3), caller: client, registry: server, clock, random: new RandomSource(index), logger: createLogger({}, true),
		invariants: new InvariantChecker({isStrict: true}), readRevision: () => 1 as Revision,
	});
	await server.listen(addresses[index]!);
	membership.start();
	return {
		membership,
		async stop() {
			membership.stop();
			await client.close();
			await server.close();
		},
	};
}

/** Measures bytes and processor time of heartbeats per instance and second, by the number of instances. */
export async function measureHeartbeatCost(): Promise<Measurement[]> {
	const bytes: Point[] = [];
	const timePoints: Point[] = [];
	for (const count of instanceCounts) {
		const cost = await measureFleet(count);
		bytes.push({size: count, value: cost.bytesPerSecond});
		timePoints.push({size: count, value: cost.processorMsPerSecond});
	}

	return [
		createMeasurement('heartbeat-bytes', 'heartbeats, bytes of bodies per instance and second, sent and received', 'bytes/s per further instance', bytes),
		createMeasurement('heartbeat-time', 'heartbeats, processor time per instance and second', 'ms/s per further instance', timePoints),
	];
}

async function measureFleet(count: number): Promise<{bytesPerSecond: number; processorMsPerSecond: number}> {
	const ports = await reservePorts(count);
	const addresses = ports.map(port => `127.0.0.1:${port}`);
	const traffic = {bytes: 0};
	const instances = await Promise.all(addresses.map(async (_, index) => startInstance(index, addresses, traffic)));
	await delay(settlingMs);
	traffic.bytes = 0;
	const startedAt = performance.now();
	const processorMs = await measureProcessorTime(async () => delay(measurementMs));
	const seconds = (performance.now() - startedAt) / msPerSecond;
	const {bytes} = traffic;
	await Promise.all(instances.map(async instance => instance.stop()));
	return {bytesPerSecond: bytes / seconds / count, processorMsPerSecond: processorMs / seconds / count};
}
