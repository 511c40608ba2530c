/** One of three targets answers part of its calls with bytes that are no answer and have no end, in small chunks. */

import {setTimeout as delay} from 'node:timers/promises';
import {
	callerHost, listTarget, startDeployment, waitForTraffic,
} from './deployment.js';
import {checkLostCalls} from './lost-calls.js';
import {hasTrouble, runCase} from './record.js';
import {makeSteadyCalls, type SteadyCallsOptions} from './steady-callers.js';
import {startPlainTarget, startUnendingTarget} from './targets.js';

const readService = 'app';
const orderService = 'desk';
const trafficMs = 30_000;
/** Begin of the disruption and of its return, from the start of the traffic and from its end, and its length, in milliseconds. */
const trouble = {afterMs: 5000, returns: 2, forMs: 6000};
/** Share of its answers that the faulty target spoils. */
const spoiltShare = 0.4;

await runCase(async record => {
	const deployment = await startDeployment({
		instances: 2, record,
		routes: [
			{
				name: 'read', host: callerHost, 'path-prefix': '/read/', kind: 'idempotent', service: readService, 'timeout-ms': 3000, 'target-latency-ms': 500,
				priority: 2, 'max-attempts': 2, resumable: false,
			},
			{
				name: 'order', host: callerHost, 'path-prefix': '/order/', kind: 'non_idempotent', service: orderService, 'timeout-ms': 3000, 'target-latency-ms': 500,
				priority: 2, 'max-attempts': 1, resumable: false,
			},
		],
		services: [{name: readService, 'max-connections': 110}, {name: orderService, 'max-connections': 110}],
	});
	const reached = new Set<string>();
	const sound = async () => startPlainTarget({
		workMs: 250, answerBytes: 800,
		onRun(id) {
			reached.add(id);
			record.write(`run ${id}`);
		},
	});
	let isInTrouble = false;
	let answers = 0;
	let spoilt = 0;
	const faulty = await startUnendingTarget({
		workMs: 250, answerBytes: 800, pieceBytes: 1,
		isFaulty() {
			answers += 1;
			return isInTrouble && answers * spoiltShare % 1 < spoiltShare;
		},
		onRun(id, isFaulty) {
			spoilt += isFaulty ? 1 : 0;
			record.write(`run ${id} at the faulty target${isFaulty ? ', answered with bytes without end' : ''}`);
		},
	});
	const targets = [await sound(), await sound(), await sound(), await sound(), faulty];
	for (const [index, {address}] of targets.entries()) {
		listTarget(deployment, {id: `target-${index + 1}`, service: index < 2 ? orderService : readService, address});
	}

	try {
		await waitForTraffic(deployment);
		const addresses = deployment.instances.map(({callerAddress}) => callerAddress);
		const common: Omit<SteadyCallsOptions, 'method' | 'path' | 'name' | 'deadlineMs' | 'perSecond'> = {
			addresses, host: callerHost, forMs: trafficMs, record,
		};
		const traffic = Promise.all([
			makeSteadyCalls({
				...common, method: 'GET', path: '/read/1', name: 'read', deadlineMs: 4000, perSecond: 25, batch: 10,
			}),
			makeSteadyCalls({
				...common, method: 'POST', path: '/order/1', name: 'order', deadlineMs: 4000, perSecond: 30,
			}),
		]);
		for (let spell = 0; spell < trouble.returns; spell += 1) {
			await delay(trouble.afterMs);
			isInTrouble = hasTrouble();
			await delay(trouble.forMs);
			isInTrouble = false;
		}

		const calls = await traffic;
		record.write(`answers without end: ${spoilt}; process ends: ${deployment.ends.length}`);
		return checkLostCalls(calls.flat(), reached, record);
	} finally {
		await deployment.close();
		for (const target of targets) {
			target.close();
		}
	}
});
