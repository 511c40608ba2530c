#!/usr/bin/env node
/** A worker removes its entry while one machine is partitioned from the store. See claim.txt. */

import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {send} from '../harness-2/client.js';
import {Engine} from '../harness-2/engine.js';
import {pickNetwork, startMachines} from '../harness-2/gateways.js';
import {startProxy} from '../harness-2/proxy.js';
import {note, noteRequests, writeRecord} from '../harness-2/record.js';
import {startStore} from '../harness-2/store.js';

const hasTrouble = process.env.TROUBLE !== '0';
const contactMs = 3000;
const drainMs = 2000;
const model = 'm0';
const service = 'palette-llm';
const host = 'gnomes.example';
const key = 'key-of-painters';
const requestIntervalMs = 10;
const rounds = 4;
const cutMs = 5500;
/** Time before the end of the cut at which the worker removes its entry, in milliseconds. */
const leadMs = 1000;
/** Time for which the worker goes on to serve, in milliseconds. */
const serveMs = 8000;

const network = pickNetwork();
const store = await startStore(`${network}.200`);
const proxy = await startProxy(`${network}.201`, store.address);
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
let startedCount = 0;
const startEngine = async () => {
	startedCount += 1;
	const engine = new Engine({
		store, host: `${network}.${100 + startedCount}`, service, model, zone: `almaty-${'abc'[startedCount % 3]}`,
	});
	await engine.start();
	return engine;
};

const engines = [];
while (engines.length < 6) {
	engines.push(await startEngine());
}

const fleet = await startMachines(8, {network, findStore: index => index === 7 ? proxy.address : store.address});
const {machines} = fleet;
const cutOff = machines[7];
const calls = [];
const sendRequest = () => {
	const number = calls.length + 1;
	calls.push(send({
		machine: machines[number % machines.length], host, key, path: `/reply/${number}`, body: 'draft', deadlineMs: 12_000,
		headers: {
			'x-laburnumturn-model': model, 'x-laburnumturn-token-count': '826,20',
			'x-laburnumturn-prompt-prefix': `5c1e07a2:119,0000000${number % 8}:79,${number.toString(16).padStart(8, '0')}:628`,
		},
	}));
};

/** One cut, with a worker that leaves before its end. Returns the worker, when it left, and when the cut ended. */
const cutOnce = async worker => {
	if (hasTrouble) {
		note(`${cutOff.name} is partitioned from the store`);
		proxy.cut();
	}

	await delay(cutMs - leadMs);
	note(`worker ${worker.id} removes its entry`);
	worker.leaveSilently();
	const leftAt = Date.now();
	engines.push(await startEngine());
	await delay(leadMs);
	proxy.heal();
	const healedAt = Date.now();
	note('the partition has ended');
	await delay(serveMs - leadMs);
	worker.close();
	note(`worker ${worker.id} ends`);
	await delay(3000);
	return {worker, leftAt, healedAt};
};

let verdict = 'could not run';
let exitCode = 2;
try {
	await delay(4000);
	const timer = setInterval(sendRequest, requestIntervalMs);
	const cuts = [];
	for (let round = 0; round < rounds; round += 1) {
		cuts.push(await cutOnce(engines[round]));
	}

	clearInterval(timer);
	const outcomes = await Promise.all(calls);
	noteRequests(outcomes, engines);
	const sent = new Map(outcomes.map(outcome => [outcome.id, outcome]));
	const late = cuts.flatMap(({worker, leftAt, healedAt}) => worker.arrivals.filter(({id, at}) => {
		const {machine, at: sentAt} = sent.get(id);
		const isInTouch = machine !== cutOff.name || !hasTrouble || sentAt >= healedAt + contactMs;
		return isInTouch && sentAt > leftAt && at > leftAt + drainMs;
	}).map(({id, at}) => ({
		id, at, worker, leftAt, healedAt,
	})));
	for (const {id, at, worker, leftAt, healedAt} of late) {
		note(`${id}, sent to ${sent.get(id).machine}, reaches ${worker.id} ${at - leftAt} ms after it left, ${at - healedAt} ms after the partition`, at);
	}

	const served = outcomes.filter(({status, isComplete}) => status === 200 && isComplete).length;
	note(`${served} of ${outcomes.length} requests served`);
	exitCode = served === 0 ? 2 : (late.length > 0 ? 1 : 0);
	verdict = `${late.length} requests reached workers later than ${drainMs} ms after these had left, sent by machines in touch`;
} catch (error) {
	verdict = `could not run: ${error.stack}`;
} finally {
	await fleet.close();
	for (const engine of engines) {
		engine.close();
	}

	proxy.close();
	store.close();
	writeRecord(new URL('./', import.meta.url), verdict);
}

process.exit(exitCode);
