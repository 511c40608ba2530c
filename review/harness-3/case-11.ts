/** Many clients send requests with heads of legal size, stop just short of the end of their bodies, and stay open. */

import {setTimeout as delay} from 'node:timers/promises';
import {
	callerHost, listTarget, startDeployment, waitForTraffic,
} from './deployment.js';
import {sendHeadCrowd} from './head-crowd.js';
import {checkLostCalls} from './lost-calls.js';
import {hasTrouble, runCase, type CaseRecord} from './record.js';
import {makeSteadyCalls} from './steady-callers.js';
import {startPlainTarget} from './targets.js';

const service = 'app';
const trafficMs = 30_000;
/** Time from the start of the traffic to the crowd, in milliseconds. */
const crowdAfterMs = 6000;
const crowd = {
	clients: 1800, headerLines: 400, valueBytes: 20, sendMs: 4000,
} as const;

async function sendCrowds(addresses: readonly string[], record: CaseRecord): Promise<void> {
	await delay(crowdAfterMs);
	for (const address of addresses) {
		const sent = await sendHeadCrowd({
			...crowd, address, host: callerHost, path: '/book/crowd',
		});
		record.write(`crowd: ${crowd.clients} requests to ${address}, each with a head of ${sent.headBytes} bytes; ${sent.countOpen()} connections open`);
		await delay(2000);
		record.write(`crowd: ${sent.countOpen()} connections to ${address} open`);
		sent.close();
	}
}

await runCase(async record => {
	const deployment = await startDeployment({
		instances: 2, record,
		routes: [{
			name: 'book', host: callerHost, 'path-prefix': '/book/', kind: 'non_idempotent', service, 'timeout-ms': 800, 'target-latency-ms': 300, priority: 2,
			'max-attempts': 1, resumable: false,
		}],
		services: [{name: service, 'max-connections': 110}],
	});
	const reached = new Set<string>();
	const targets = await Promise.all([1, 2, 3].map(async () => startPlainTarget({
		workMs: 250, answerBytes: 800,
		onRun(id) {
			reached.add(id);
			record.write(`run ${id}`);
		},
	})));
	for (const [index, {address}] of targets.entries()) {
		listTarget(deployment, {id: `app-${index + 1}`, service, address});
	}

	try {
		await waitForTraffic(deployment);
		const addresses = deployment.instances.map(({callerAddress}) => callerAddress);
		const traffic = makeSteadyCalls({
			addresses, host: callerHost, method: 'POST', path: '/book/1', name: 'book', perSecond: 20, forMs: trafficMs, deadlineMs: 1500, record,
		});
		const trouble = hasTrouble() ? sendCrowds(addresses, record) : undefined;
		const calls = await traffic;
		await trouble;
		record.write(`process ends: ${deployment.ends.length}`);
		return checkLostCalls(calls, reached, record);
	} finally {
		await deployment.close();
		for (const target of targets) {
			target.close();
		}
	}
});
