/** Clients send bodies of legal size in very small chunks at the same time, stop just short of their end, and stay open. */

import {setTimeout as delay} from 'node:timers/promises';
import {sendChunkCrowd} from './chunk-crowd.js';
import {
	callerHost, listTarget, startDeployment, waitForTraffic,
} from './deployment.js';
import {checkTimeouts} from './late-answers.js';
import {hasTrouble, runCase, type CaseRecord} from './record.js';
import {makeSteadyCalls} from './steady-callers.js';
import {startPlainTarget} from './targets.js';

const service = 'app';
const timeoutMs = 800;
const trafficMs = 30_000;
/** Time from the start of the traffic to the crowd, in milliseconds. */
const crowdAfterMs = 6000;
const crowd = {
	clients: 40, bodyBytes: 1_048_576, chunkBytes: 8, bytesPerSecond: 10_000_000,
} as const;

/** Sends the crowd; resolves to what closes its connections. */
async function sendCrowd(address: string, record: CaseRecord): Promise<() => void> {
	await delay(crowdAfterMs);
	record.write(`crowd: ${crowd.clients} bodies begin at ${address}`);
	const close = await sendChunkCrowd({
		...crowd, address, host: callerHost, path: '/book/crowd',
	});
	record.write('crowd: all bodies are sent but for their last chunk');
	return close;
}

await runCase(async record => {
	const deployment = await startDeployment({
		instances: 2, record,
		routes: [{
			name: 'book', host: callerHost, 'path-prefix': '/book/', kind: 'non_idempotent', service, 'timeout-ms': timeoutMs, 'target-latency-ms': 300,
			priority: 2, 'max-attempts': 1, resumable: false,
		}],
		services: [{name: service, 'max-connections': 110}],
	});
	const targets = await Promise.all([1, 2, 3].map(async () => startPlainTarget({
		workMs: 85, answerBytes: 800,
		onRun(id) {
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
			addresses, host: callerHost, method: 'POST', path: '/book/1', name: 'book', perSecond: 10, forMs: trafficMs, deadlineMs: 1500, record,
		});
		const trouble = hasTrouble() ? sendCrowd(addresses[0]!, record) : undefined;
		const calls = await traffic;
		(await trouble)?.();
		record.write(`process ends: ${deployment.ends.length}`);
		return checkTimeouts(calls, timeoutMs, record);
	} finally {
		await deployment.close();
		for (const target of targets) {
			target.close();
		}
	}
});
