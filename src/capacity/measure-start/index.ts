/**
 * Measures the time from the start of a daemon process to its first served completion, with the
 * object API up and down.
 */

import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {demoSecrets} from '../../demo/create-demo-resources/index.js';
import {Cluster} from '../../process/cluster/index.js';

const repetitions = 5;
const retryIntervalMs = 5;
const startTimeoutMs = 5000;

/** Restarts daemon 0 and returns the milliseconds until it serves, or undefined after the timeout. */
async function measureStartMs(cluster: Cluster): Promise<number | undefined> {
	await cluster.daemons[0]!.end('SIGKILL');
	const startedAt = performance.now();
	const started = cluster.startDaemon(0);
	while (performance.now() - startedAt < startTimeoutMs) {
		if (await isServing(cluster.addresses[0]!.caller)) {
			await started;
			return performance.now() - startedAt;
		}

		await delay(retryIntervalMs);
	}

	await started;
	return undefined;
}

async function isServing(address: string): Promise<boolean> {
	try {
		const answer = await request(`http://${address}/v1/completions`, {
			method: 'POST', headers: {authorization: `Bearer ${demoSecrets.north}`},
			body: JSON.stringify({model: 'assistant', prompt: 'first', max_tokens: 1}),
		});
		await answer.body.dump();
		return answer.statusCode === 200;
	} catch {
		return false;
	}
}

async function measureStarts(cluster: Cluster, storeState: string): Promise<void> {
	const startTimesMs: Array<number | undefined> = [];
	for (let repetition = 0; repetition < repetitions; repetition += 1) {
		startTimesMs.push(await measureStartMs(cluster));
	}

	process.stdout.write(`store=${storeState} first_served_ms=${startTimesMs.map(time => time?.toFixed(0) ?? 'none').join(',')}\n`);
}

const cluster = new Cluster({daemons: 3, settings: {}});
try {
	await cluster.start();
	await measureStarts(cluster, 'up');
	await request(`http://${cluster.objectApi!.address}/faults`, {method: 'POST', body: JSON.stringify({isDown: true})});
	await measureStarts(cluster, 'down');
} finally {
	await cluster.stop();
}
