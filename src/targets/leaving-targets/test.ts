import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {after, describe, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {once} from 'node:events';
import {expect} from 'earl';
import {SystemClock} from '../../clock/clock/index.js';
import {Configuration, type ResolvedModel, type ResolvedTarget} from '../../configuration/configuration/index.js';
import type {
	DataCentreId, FleetId, ModelId, RequestId, Revision, TargetId,
} from '../../identity/ids/index.js';
import {sendJson} from '../../http/send-json/index.js';
import {createLogger} from '../../logging/create-logger/index.js';
import type {ListedInstance} from '../../store/instance-list/index.js';
import {HttpEngineClient} from '../http-engine-client/index.js';
import {TargetDirectory} from '../target-directory/index.js';
import {LeavingTargets} from './index.js';

const timeoutMs = 3000;
const model: ResolvedModel = {
	id: 'm' as ModelId, name: 'm', fleets: ['north' as FleetId], base: 'base', weightsVersion: 'v1', deterministic: false,
};

/** Starts an engine that announces in its state or in a response header that it is leaving. */
async function createEngine() {
	const announcement = {isInState: false, isInHeader: false};
	let finishStream: (() => void) | undefined;
	const server = createServer((message, response) => {
		if (announcement.isInHeader) {
			response.setHeader('x-target-leaving', 'true');
		}

		if (message.url === '/state') {
			sendJson(response, 200, {
				incarnation: 'i', role: 'mixed', isLeaving: announcement.isInState, models: [{base: 'base', weightsVersion: 'v1', state: 'ready'}],
				load: {
					running: 0, waiting: 0, slots: 1, pendingPrefillTokens: 0, ageMs: 0,
				},
			});
		} else if (message.url === '/v1/completions') {
			response.writeHead(200, {'x-request-id': message.headers['x-request-id']});
			response.write('id: 0\ndata: {}\n\n');
			finishStream = () => {
				response.end('id: 1\ndata: [DONE]\n\n');
			};
		} else {
			sendJson(response, 404, {});
		}
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	after(() => {
		server.closeAllConnections();
		server.close();
	});
	return {announcement, address: `127.0.0.1:${(server.address() as AddressInfo).port}`, finishStream: () => finishStream?.()};
}

function createConfiguration(address: string, state: ResolvedTarget['state'], revision: number): Configuration {
	const target: ResolvedTarget = {
		id: 't' as TargetId, fleet: 'north' as FleetId, dataCentre: 'dc' as DataCentreId, type: 'engine', address, models: [model.id],
		checksFencing: true, role: 'mixed', state,
	};
	return new Configuration(revision as Revision, {
		organisations: [], keys: [], models: [model], routes: [], targets: [target],
	});
}

async function createDirectory() {
	const engine = await createEngine();
	const clock = new SystemClock();
	const listed: ListedInstance[] = [];
	const leaving = new LeavingTargets(clock, {read: async () => listed});
	const targets = new TargetDirectory(clock, createLogger({}, true), target => new HttpEngineClient({address: target.address}), leaving);
	after(async () => {
		leaving.stop();
		await targets.stop();
	});
	leaving.start();
	targets.apply(createConfiguration(engine.address, 'live', 1));
	const monitor = () => targets.find('t' as TargetId)!;
	const canServe = () => monitor().canServe(model, clock.readMonotonic());
	const waitForCanServe = async (expected: boolean) => {
		const startedAt = clock.readMonotonic();
		while (canServe() !== expected && clock.readMonotonic() - startedAt < timeoutMs) {
			await delay(10);
		}

		return {isReached: canServe() === expected, elapsedMs: clock.readMonotonic() - startedAt};
	};

	await waitForCanServe(true);
	return {
		...engine, listed, targets, monitor, waitForCanServe,
	};
}

describe('leaving targets', () => {
	test('guards against new requests to an engine that reports in its state that it is leaving while the instance list lags', async () => {
		const {announcement, waitForCanServe} = await createDirectory();
		announcement.isInState = true;
		const {isReached} = await waitForCanServe(false);
		expect(isReached).toEqual(true);
	});

	test('guards against new requests to an engine that announces in a response header that it is leaving', async () => {
		const {announcement, waitForCanServe} = await createDirectory();
		announcement.isInHeader = true;
		const {isReached} = await waitForCanServe(false);
		expect(isReached).toEqual(true);
	});

	test('guards against new requests to an engine that only the instance list shows as leaving', async () => {
		const {listed, address, waitForCanServe} = await createDirectory();
		listed.push({
			id: 't', role: 'target', address, state: 'leaving',
		});
		const {isReached} = await waitForCanServe(false);
		expect(isReached).toEqual(true);
	});

	test('guards against closing open streams when the configuration marks their engine as leaving', async () => {
		const {targets, address, monitor, waitForCanServe, finishStream} = await createDirectory();
		const response = await monitor().client.complete({requestId: 'r' as RequestId, path: '/v1/completions', body: {}}, new AbortController().signal);
		targets.apply(createConfiguration(address, 'leaving', 2));
		const {elapsedMs} = await waitForCanServe(false);
		expect(elapsedMs).toBeLessThan(100);
		finishStream();
		const chunks: string[] = [];
		for await (const chunk of response.chunks) {
			chunks.push(chunk.data);
		}

		expect(chunks).toEqual(['{}', '[DONE]']);
	});
});
