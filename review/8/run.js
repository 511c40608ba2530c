#!/usr/bin/env node
/** The process that holds the rollout lease is killed again and again. See claim.txt. */

import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {send} from '../harness-2/client.js';
import {Engine} from '../harness-2/engine.js';
import {pickNetwork, startMachines} from '../harness-2/gateways.js';
import {note, noteRequests, writeRecord} from '../harness-2/record.js';
import {startStore} from '../harness-2/store.js';

const hasTrouble = process.env.TROUBLE !== '0';
const contactMs = 3000;
const versionMs = 10_000;
const model = 'm0';
const service = 'palette-llm';
const host = 'gnomes.example';
const key = 'key-of-painters';
const kills = 7;
const killPauseMs = 2600;
const requestIntervalMs = 15;

const network = pickNetwork();
const store = await startStore(`${network}.200`);
store.put('config', 'main', {
	version: 1,
	routes: [{
		name: 'reply-draft', host, 'path-prefix': '/reply/', kind: 'streaming', 'timeout-ms': 12_000, 'target-latency-ms': 400,
		priority: 0, service, 'max-attempts': 2, public: false, 'session-affinity': true, resumable: true, 'gap-aim-ms': 400,
	}],
	services: [{
		name: service, 'health-path': '/healthz', 'max-connections': 370, protocol: 'h1', tls: false,
		engine: {slots: 64, 'kv-capacity-tokens': 100_640, models: [{name: model}]},
	}],
	limits: {
		'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
	},
	tenants: [{
		name: 'painters', 'api-keys': [key], priority: 1, unit: 'token_stream', 'plain-tokens': 200, isolated: false, 'rate-per-s': 0, burst: 0,
	}],
});
store.put('versions', model, {model, version: 1});
const engines = Array.from({length: 6}, (_, index) => new Engine({
	store, host: `${network}.${100 + index}`, service, model, zone: `almaty-${'abc'[index % 3]}`,
}));
for (const engine of engines) {
	await engine.start();
}

const fleet = await startMachines(8, {network, storeAddress: store.address});
const {machines} = fleet;
/** Start of the process that each machine runs, in Unix milliseconds. */
const startedAt = new Map(machines.map(({name}) => [name, 0]));
/** When each version of the weights was named. */
const namedAt = new Map([[1, 0]]);
const sent = new Map();
const outcomes = [];

const nameWeights = () => {
	const version = namedAt.size + 1;
	note(`operator names weights ${version}`);
	store.put('versions', model, {model, version});
	namedAt.set(version, Date.now());
};

const findHolder = () => {
	const holder = store.read('leases', 'rollout')?.holder;
	return machines.find(machine => machine.host === holder);
};

let count = 0;
const sendRequest = () => {
	count += 1;
	const machine = machines[count % machines.length];
	const call = send({
		machine, host, key, path: `/reply/${count}`, body: 'draft', deadlineMs: 12_000,
		headers: {
			'x-laburnumturn-model': model, 'x-laburnumturn-token-count': '826,20',
			'x-laburnumturn-prompt-prefix': `5c1e07a2:119,0000000${count % 8}:79,${count.toString(16).padStart(8, '0')}:628`,
		},
	});
	outcomes.push(call);
};

const killHolder = () => {
	const holder = findHolder();
	if (hasTrouble && holder !== undefined) {
		note(`SIGKILL to ${holder.name}, which holds the lease`);
		holder.signal('SIGKILL');
		startedAt.set(holder.name, Date.now());
	}
};

let verdict = 'could not run';
let exitCode = 2;
try {
	await delay(3000);
	const timer = setInterval(sendRequest, requestIntervalMs);
	await delay(1000);
	nameWeights();
	await delay(4500);
	for (let kill = 0; kill < kills; kill += 1) {
		killHolder();
		await delay(400);
		if (kill % 3 === 0) {
			nameWeights();
		}

		await delay(killPauseMs - 400);
	}

	await delay(8000);
	clearInterval(timer);
	for (const call of await Promise.all(outcomes)) {
		sent.set(call.id, call);
	}

	for (const engine of engines) {
		for (const order of engine.orders) {
			note(`order at ${engine.id}: weights ${order.version} from ${order.holder}, fence ${order.fence}, status ${order.status}`, order.at);
		}
	}

	noteRequests([...sent.values()], engines);
	const begun = engines.flatMap(engine => engine.begun.map(entry => ({...entry, engine: engine.id})));
	const late = begun.filter(({id, at, version}) => {
		const {machine, at: sentAt} = sent.get(id);
		const isOutdated = [...namedAt].some(([named, since]) => named > version && at - since > versionMs);
		return isOutdated && sentAt - startedAt.get(machine) > contactMs;
	});
	for (const {id, at, version, engine} of late) {
		note(`request ${id}, sent by ${sent.get(id).machine}, begins on weights ${version} at ${engine}`, at);
	}

	const calls = [...sent.values()];
	const served = calls.filter(({status, isComplete}) => status === 200 && isComplete).length;
	note(`${served} of ${calls.length} requests served; refused: ${calls.filter(({status}) => status === 503).length}`);
	exitCode = served === 0 ? 2 : (late.length > 0 ? 1 : 0);
	verdict = `${late.length} of ${begun.length} requests, sent by machines in touch, began on weights later than ${versionMs} ms after newer ones were named`;
} catch (error) {
	verdict = `could not run: ${error.stack}`;
} finally {
	await fleet.close();
	for (const engine of engines) {
		engine.close();
	}

	store.close();
	writeRecord(new URL('./', import.meta.url), verdict);
}

process.exit(exitCode);
