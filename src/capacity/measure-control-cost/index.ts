/**
 * Measures what heartbeats cost each instance: bytes of bodies and processor time, with real peers
 * over loopback in one process.
 */

import process from 'node:process';
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

const instanceCounts = [3, 9, 17];
const dataCentreCount = 3;
const settleMs = 4000;
const measureMs = 10_000;
const msPerSecond = 1000;
const microsecondsPerSecond = 1e6;

type Traffic = {bytes: number};

async function startInstance(index: number, addresses: readonly string[], traffic: Traffic) {
	const clock = new SystemClock();
	const id = `entry-${String(index).padStart(3, '0')}` as InstanceId;
	const server = new PeerServer(id, (sentBytes, receivedBytes) => {
		traffic.bytes += sentBytes + receivedBytes;
	});
	const client: PeerClient = new PeerClient({
		self: id,
		locate: peer => membership.locate(peer),
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

async function measureControlCost(count: number): Promise<string> {
	const ports = await reservePorts(count);
	const addresses = ports.map(port => `127.0.0.1:${port}`);
	const traffic = {bytes: 0};
	const instances = await Promise.all(addresses.map(async (_, index) => startInstance(index, addresses, traffic)));
	await delay(settleMs);
	traffic.bytes = 0;
	const startedAt = performance.now();
	const before = process.cpuUsage();
	await delay(measureMs);
	const used = process.cpuUsage(before);
	const seconds = (performance.now() - startedAt) / msPerSecond;
	const now = new SystemClock().readMonotonic();
	const fewest = Math.min(...instances.map(({membership}) => membership.listLive(now).length));
	await Promise.all(instances.map(async instance => instance.stop()));
	const bytes = traffic.bytes / seconds / count;
	const processorShare = (used.user + used.system) / microsecondsPerSecond / seconds / count * 100;
	return `instances=${count} bytes_per_second_each=${bytes.toFixed(0)} processor_percent_each=${processorShare.toFixed(2)} fewest_live=${fewest}`;
}

for (const count of instanceCounts) {
	process.stdout.write(`${await measureControlCost(count)}\n`);
}
