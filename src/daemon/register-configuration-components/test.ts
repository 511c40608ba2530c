import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
	after, before, describe, test,
} from 'node:test';
import {expect} from 'earl';
import {Client, request} from 'undici';
import {fetchDump} from '../../cli/dump/index.js';
import {withdrawKey} from '../../cli/create-key/index.js';
import {createKey, createOrganisation} from '../../fixtures/create-resources/index.js';
import {hashKey} from '../../keys/hash-key/index.js';
import {HttpObjectApi} from '../../store/http-object-api/index.js';
import {reservePorts} from '../../process/reserve-ports/index.js';
import {startProcess, type StartedProcess} from '../../process/start-process/index.js';
import {collectionByKind, formatObjectName} from '../../resources/schemas/index.js';

const daemonCount = 3;
const pollIntervalMs = 20;
const waitTimeoutMs = 15_000;

type Instance = {readonly settingsFile: string; readonly admin: string; process: StartedProcess; client: Client};

/** Polls on one keep-alive connection until a response has `status`; returns the elapsed time in milliseconds, also on timeout. */
async function waitForStatus(client: Client, secret: string, status: number): Promise<number> {
	const start = performance.now();
	for (;;) {
		const response = await client.request({method: 'GET', path: '/v1/models', headers: {authorization: `Bearer ${secret}`}});
		await response.body.dump();
		const elapsedMs = performance.now() - start;
		if (response.statusCode === status || elapsedMs > waitTimeoutMs) {
			return elapsedMs;
		}

		await new Promise(resolve => {
			setTimeout(resolve, pollIntervalMs);
		});
	}
}

/** Waits until an instance holds the acceptor lease, and returns it. */
async function waitForAcceptor(instances: readonly Instance[]): Promise<Instance> {
	for (let elapsedMs = 0; elapsedMs < waitTimeoutMs; elapsedMs += pollIntervalMs) {
		const dumps = await Promise.all(instances.map(async ({admin}) => fetchDump(admin)));
		const index = dumps.findIndex(dump => (dump.acceptor as {isLeader: boolean}).isLeader);
		if (index !== -1) {
			return instances[index]!;
		}

		await new Promise(resolve => {
			setTimeout(resolve, pollIntervalMs);
		});
	}

	throw new Error('no instance holds the acceptor lease');
}

describe('keys on running daemons', () => {
	const instances: Instance[] = [];
	let objectApi: StartedProcess;
	let api: HttpObjectApi;
	let directory = '';

	before(async () => {
		directory = await mkdtemp(join(tmpdir(), 'laburnumturn-keys-'));
		objectApi = await startProcess('standin', ['object-api']);
		api = new HttpObjectApi({origin: `http://${objectApi.address}`});
		const keys = [0, 1, 2].map(index => createKey({name: `key-${index}`, sha256: hashKey(`secret-${index}`)}));
		for (const resource of [createOrganisation(), ...keys]) {
			await api.create(collectionByKind[resource.kind], formatObjectName(resource), resource);
		}

		const ports = await reservePorts(3 * daemonCount);
		const addresses = Array.from({length: daemonCount}, (_, index) => ports.slice(3 * index, (3 * index) + 3).map(port => `127.0.0.1:${port}`));
		for (const [index, [caller, peer, admin]] of addresses.entries()) {
			const settingsFile = join(directory, `${index}.jsonc`);
			await writeFile(settingsFile, JSON.stringify({
				instance: `entry-${index}`, fleet: 'almaty', dataCentre: `dc-${index}`, listen: {caller, peer, admin},
				platform: {objectApi: `http://${objectApi.address}`}, seeds: addresses.map(instanceAddresses => instanceAddresses[1]),
			}));
			const process = await startProcess('laburnumturnd', ['--settings', settingsFile]);
			instances.push({
				settingsFile, admin: admin!, process, client: new Client(`http://${process.address}`),
			});
		}

		await Promise.all(instances.map(async ({client}) => waitForStatus(client, 'secret-0', 200)));
	});

	after(async () => {
		await api.close();
		await Promise.all(instances.map(async ({client, process}) => {
			await client.destroy();
			await process.end('SIGKILL');
		}));
		await objectApi.end('SIGKILL');
		await rm(directory, {recursive: true, force: true});
	});

	test('guards against a withdrawn key that still works on open connections', async () => {
		await withdrawKey(api, {fleet: 'almaty', name: 'key-0'});
		const times = await Promise.all(instances.map(async ({client}) => waitForStatus(client, 'secret-0', 401)));
		expect(Math.max(...times)).toBeLessThan(2000);
	});

	test('guards against a dump that contains a key or its hash', async () => {
		const dumps = JSON.stringify(await Promise.all(instances.map(async ({admin}) => fetchDump(admin))));
		expect([dumps.includes(hashKey('secret-1')), dumps.includes('almaty/key-1')]).toEqual([false, true]);
	});

	test('guards against a restart that waits for the store', async () => {
		const [instance] = instances;
		await instance!.client.destroy();
		await instance!.process.end('SIGKILL');
		await request(`http://${objectApi.address}/faults`, {method: 'POST', body: JSON.stringify({isDown: true})});
		instance!.process = await startProcess('laburnumturnd', ['--settings', instance!.settingsFile]);
		instance!.client = new Client(`http://${instance!.process.address}`);
		const servedMs = await waitForStatus(instance!.client, 'secret-1', 200);
		await request(`http://${objectApi.address}/faults`, {method: 'POST', body: JSON.stringify({isDown: false})});
		expect(servedMs).toBeLessThan(1000);
	});

	test('guards against a crashed acceptor that delays the withdrawal of keys', async () => {
		const crashed = await waitForAcceptor(instances);
		await crashed.process.end('SIGKILL');
		await withdrawKey(api, {fleet: 'almaty', name: 'key-1'});
		const survivors = instances.filter(instance => instance !== crashed);
		const times = await Promise.all(survivors.map(async ({client}) => waitForStatus(client, 'secret-1', 401)));
		// A shorter time means that the instance that was killed did not hold the acceptor lease.
		expect(Math.max(...times)).toBeGreaterThan(500);
		expect(Math.max(...times)).toBeLessThan(5000);
	});

	test('guards against serving keyed requests on an instance that has lost contact with the store and all peers', async () => {
		const running = instances.filter(({process}) => process.child.exitCode === null && process.child.signalCode === null);
		const [last, ...others] = running;
		await Promise.all(others.map(async ({process}) => process.end('SIGKILL')));
		await request(`http://${objectApi.address}/faults`, {method: 'POST', body: JSON.stringify({isDown: true})});
		// 503 can only mean `isolated` here: the instance is ready, and listing models needs no target.
		const refusedMs = await waitForStatus(last!.client, 'secret-2', 503);
		expect([refusedMs > 2000, refusedMs < 9000]).toEqual([true, true]);
	});
});
