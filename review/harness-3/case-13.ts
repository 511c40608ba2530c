/** One of three targets answers one stream with bytes that hold no event and have no end, in small chunks. */

import {randomUUID} from 'node:crypto';
import {request} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
	callerHost, listTarget, startDeployment, waitForTraffic,
} from './deployment.js';
import {checkTimeouts} from './late-answers.js';
import {hasTrouble, runCase, type CaseRecord} from './record.js';
import {makeSteadyCalls} from './steady-callers.js';
import {startPlainTarget, startStreamTarget, type StreamTargetOptions} from './targets.js';

const model = 'daka510000';
const streamService = 'engines';
const orderService = 'desk';
const trafficMs = 30_000;
const orderTimeoutMs = 800;
const streamsPerSecond = 4;
/** Time from the start of the traffic to the faulty answer, in milliseconds. */
const troubleAfterMs = 6000;

/** Makes streams one after the other at a steady rate; their answers are read and dropped. */
async function makeStreams(addresses: readonly string[], record: CaseRecord): Promise<void> {
	const endsAt = performance.now() + trafficMs;
	for (let index = 0; performance.now() < endsAt; index += 1) {
		const id = `stream-${index}`;
		const outbound = request(`http://${addresses[index % addresses.length]!}/chat/1`, {
			method: 'POST', agent: false, headers: {
				host: callerHost, 'X-Laburnumturn-Request-Id': id, 'X-Laburnumturn-Deadline-Ms': '15000', 'X-Laburnumturn-Model': model,
				'X-Laburnumturn-Token-Count': '628,58', 'X-Laburnumturn-Prompt-Prefix': `5c1e07a2:198,${randomUUID().slice(0, 8)}:430`,
			},
		}, response => {
			response.resume();
			response.once('error', () => {
				record.write(`${id} broke off`);
			});
		});
		outbound.once('error', () => {
			record.write(`${id} got no answer`);
		});
		outbound.end('{}');
		await delay(1000 / streamsPerSecond);
	}
}

await runCase(async record => {
	const deployment = await startDeployment({
		instances: 2, record,
		routes: [
			{
				name: 'chat', host: callerHost, 'path-prefix': '/chat/', kind: 'streaming', service: streamService, 'timeout-ms': 15_000, 'target-latency-ms': 400,
				priority: 0, 'max-attempts': 2, resumable: true, 'gap-aim-ms': 400,
			},
			{
				name: 'order', host: callerHost, 'path-prefix': '/order/', kind: 'non_idempotent', service: orderService, 'timeout-ms': orderTimeoutMs,
				'target-latency-ms': 300, priority: 2, 'max-attempts': 1, resumable: false,
			},
		],
		services: [
			{name: streamService, 'max-connections': 370, engine: {slots: 64, 'kv-capacity-tokens': 118_922, models: [{name: model}]}},
			{name: orderService, 'max-connections': 110},
		],
	});
	deployment.store.put('versions', model, {model, version: 1});
	let remaining = 0;
	const common: Omit<StreamTargetOptions, 'isFaulty'> = {
		events: 58, pauseMs: 20, pieceBytes: 4,
		onRun(id, isFaulty) {
			record.write(`run ${id}${isFaulty ? ', answered with bytes without end' : ''}`);
		},
	};
	const engines = [
		await startStreamTarget({
			...common,
			isFaulty() {
				remaining -= 1;
				return remaining === 0;
			},
		}),
		await startStreamTarget({...common, isFaulty: () => false}),
		await startStreamTarget({...common, isFaulty: () => false}),
	];
	const desks = await Promise.all([1, 2, 3].map(async () => startPlainTarget({
		workMs: 85, answerBytes: 800,
		onRun(id) {
			record.write(`run ${id}`);
		},
	})));
	for (const [index, {address}] of engines.entries()) {
		listTarget(deployment, {
			id: `engine-${index + 1}`, service: streamService, address, model,
		});
	}

	for (const [index, {address}] of desks.entries()) {
		listTarget(deployment, {id: `desk-${index + 1}`, service: orderService, address});
	}

	try {
		await waitForTraffic(deployment);
		const addresses = deployment.instances.map(({callerAddress}) => callerAddress);
		const streams = makeStreams(addresses, record);
		const orders = makeSteadyCalls({
			addresses, host: callerHost, method: 'POST', path: '/order/1', name: 'order', perSecond: 5, forMs: trafficMs, deadlineMs: 1500, record,
		});
		await delay(troubleAfterMs);
		remaining = hasTrouble() ? 1 : 0;
		await streams;
		const calls = await orders;
		record.write(`process ends: ${deployment.ends.length}`);
		return checkTimeouts(calls, orderTimeoutMs, record);
	} finally {
		await deployment.close();
		for (const target of [...engines, ...desks]) {
			target.close();
		}
	}
});
