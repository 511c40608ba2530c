import {after, describe, test} from 'node:test';
import {expect} from 'earl';
import {request} from 'undici';
import {createDemoResources, demoSecrets} from '../../demo/create-demo-resources/index.js';
import {hashKey} from '../../keys/hash-key/index.js';
import {MemoryObjectApi} from '../../store/memory-object-api/index.js';
import {reservePorts} from '../../process/reserve-ports/index.js';
import {collectionByKind, formatObjectName} from '../../resources/schemas/index.js';
import {createObjectApiServer} from '../../standin/object-api-server/index.js';
import {settingsSchema} from '../settings/index.js';
import {startDaemon} from '../start-daemon/index.js';

async function readAdmin(port: number, path: string) {
	const response = await request(`http://127.0.0.1:${port}${path}`);
	return {status: response.statusCode, text: await response.body.text()};
}

async function waitForStatus(port: number, status: number): Promise<void> {
	for (let attempt = 0; attempt < 500; attempt += 1) {
		const response = await readAdmin(port, '/readyz');
		if (response.status === status) {
			return;
		}

		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}
}

describe('admin listener', () => {
	test('guards against a dump or metrics that contain a key, and against readiness without a configuration or while leaving', async () => {
		const [store, caller, peer, admin] = await reservePorts(4) as [number, number, number, number];
		const settings = settingsSchema.parse({
			instance: 'entry-0', fleet: 'north', dataCentre: 'north-0', addressValidityMs: 100, stop: {marginMs: 100},
			listen: {caller: `127.0.0.1:${caller}`, peer: `127.0.0.1:${peer}`, admin: `127.0.0.1:${admin}`},
			platform: {objectApi: `http://127.0.0.1:${store}`},
		});
		const daemon = await startDaemon(settings);
		const readiness = await readAdmin(admin, '/readyz');
		const liveness = await readAdmin(admin, '/livez');
		expect([readiness.status, liveness.status]).toEqual([503, 200]);

		const api = new MemoryObjectApi();
		const server = createObjectApiServer(api, {writesPerSecond: 1000, readsPerSecond: 1000});
		server.listen(store, '127.0.0.1');
		after(() => {
			server.closeAllConnections();
			server.close();
		});
		const targets = {engines: [`127.0.0.1:${store}`], service: `127.0.0.1:${store}`};
		for (const resource of createDemoResources({north: targets, south: targets})) {
			await api.create(collectionByKind[resource.kind], formatObjectName(resource), resource);
		}

		await waitForStatus(admin, 200);
		const responses = await Promise.all(['/dump', '/metrics', '/readyz'].map(async path => readAdmin(admin, path)));
		expect(responses.map(response => response.status)).toEqual([200, 200, 200]);
		const [dump, metrics] = responses.map(response => response.text) as [string, string];
		for (const secret of Object.values(demoSecrets)) {
			expect([secret, hashKey(secret)].some(text => dump.includes(text) || metrics.includes(text))).toEqual(false);
		}

		const metricNames = [
			'members',
			'store_calls_total',
			'peer_bytes_total',
			'requests_total',
			'connections',
			'nodejs_eventloop_lag_seconds',
			'process_cpu_user_seconds_total',
			'queue_length',
			'placement_prompt_tokens_total',
			'placement_invariant_violations_total',
			'budget_owned_parts',
		];
		expect(metricNames.filter(name => !metrics.includes(`laburnumturn_${name}`))).toEqual([]);
		expect(Object.keys(JSON.parse(dump) as object)).toInclude('membership', 'targets', 'targetController', 'configuration');

		const stopOutcome = daemon.stop();
		const readinessWhileLeaving = await readAdmin(admin, '/readyz');
		expect(readinessWhileLeaving.status).toEqual(503);
		expect(await stopOutcome).toEqual('drained');
	});
});
