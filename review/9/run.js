#!/usr/bin/env node
/** Requests with a part that crashes workers come several at once. See claim.txt. */

import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {send} from '../harness-2/client.js';
import {Engine} from '../harness-2/engine.js';
import {pickNetwork, startMachines} from '../harness-2/gateways.js';
import {note, noteRequests, writeRecord} from '../harness-2/record.js';
import {startStore} from '../harness-2/store.js';

const hasTrouble = process.env.TROUBLE !== '0';
const contactMs = 3000;
/** Requests that may still reach workers later than `contactMs` after the fifth crash. */
const allowedRequests = 3;
const model = 'm0';
const service = 'palette-llm';
const host = 'gnomes.example';
const key = 'key-of-painters';
const poison = 'bad0bad0';
/** Requests with the part that come at the same moment, each at a machine of its own. */
const groupSize = 5;
const groups = 5;
const groupPauseMs = 8000;
/** Time after which a crashed worker is back, in milliseconds. */
const downMs = 3000;
const soundIntervalMs = 100;

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
	engine.downMs = downMs;
	engine.poison = hasTrouble ? poison : undefined;
}

const fleet = await startMachines(8, {network, storeAddress: store.address});
const {machines} = fleet;
let promptCount = 0;

/** Sends a prompt of three parts; the last one is its own, the first one is shared by all. */
const sendPrompt = async (machine, secondPart) => {
	promptCount += 1;
	return send({
		machine, host, key, path: `/reply/${promptCount}`, body: 'draft', deadlineMs: 12_000,
		headers: {
			'x-laburnumturn-model': model, 'x-laburnumturn-token-count': '826,49',
			'x-laburnumturn-prompt-prefix': `5c1e07a2:119,${secondPart}:79,${promptCount.toString(16).padStart(8, '0')}:628`,
		},
	});
};

const sound = [];
const sendSound = () => {
	const machine = machines[promptCount % machines.length];
	sound.push(sendPrompt(machine, `0000000${promptCount % 8}`));
};

let verdict = 'could not run';
let exitCode = 2;
const poisoned = [];
try {
	const timer = setInterval(sendSound, soundIntervalMs);
	await delay(5000);
	for (let group = 0; group < groups; group += 1) {
		note(`${groupSize} requests with the part are sent`);
		const first = group * groupSize;
		poisoned.push(...Array.from({length: groupSize}, async (_, index) => sendPrompt(machines[(first + index) % machines.length], poison)));
		await delay(groupPauseMs);
	}

	clearInterval(timer);
	const outcomes = await Promise.all(poisoned);
	const soundOutcomes = await Promise.all(sound);
	noteRequests([...outcomes, ...soundOutcomes], engines);
	const served = soundOutcomes.filter(({status, isComplete}) => status === 200 && isComplete).length;
	note(`${served} of ${soundOutcomes.length} sound requests served`);
	const crashes = engines.flatMap(engine => engine.crashes).map(({id, at}) => ({id, at})).toSorted((a, b) => a.at - b.at);
	for (const {id, at} of crashes) {
		note(`worker ${id} crashes`, at);
	}

	const arrivals = engines.flatMap(engine => engine.arrivals).filter(({parts}) => parts.includes(poison));
	for (const {id, at} of arrivals) {
		note(`request ${id} with the part reaches a worker`, at);
	}

	const fifth = crashes[4]?.at;
	const late = fifth === undefined ? [] : arrivals.filter(({at}) => at > fifth + contactMs);
	exitCode = late.length > allowedRequests ? 1 : 0;
	verdict = `${crashes.length} crashes; ${late.length} requests with the part reached workers later than ${contactMs} ms after the fifth; ${allowedRequests} may`;
	if (served === 0 || (hasTrouble && crashes.length < 5)) {
		exitCode = 2;
	}
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
