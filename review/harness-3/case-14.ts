/** The operator sets `isolated` for a tenant that was not isolated before. */

import {setTimeout as delay} from 'node:timers/promises';
import {startCacheEngine, type ForeignUse} from './cache-engine.js';
import {
	callerHost, listTarget, startDeployment, waitForTraffic, type Deployment,
} from './deployment.js';
import {hasTrouble, runCase, type CaseRecord} from './record.js';
import {makeSteadyCalls} from './steady-callers.js';

const model = 'daka510000';
const service = 'engines';
/** `config-apply-ms` and the time after which a configuration may have no effect of an older one any more, in milliseconds. */
const applyMs = 2000;
const trafficMs = 5000;

function buildTenants(isIsolated: boolean): unknown[] {
	return [
		{
			name: 'sese880', 'api-keys': ['wu3fexd9dnn2ctnfzs98'], priority: 1, unit: 'token_stream', 'plain-tokens': 200, isolated: isIsolated,
			'rate-per-s': 0, burst: 0,
		},
		{
			name: 'mimo114', 'api-keys': ['9anu6wsjnbanfqasnmgk'], priority: 1, unit: 'token_stream', 'plain-tokens': 200, isolated: false,
			'rate-per-s': 0, burst: 0,
		},
	];
}

/** Makes streams with a key; all have the same shared parts, and a last part of their own. */
async function makeStreams({instances}: Deployment, name: string, key: string, record: CaseRecord): Promise<void> {
	const calls = await makeSteadyCalls({
		addresses: instances.map(({callerAddress}) => callerAddress), host: callerHost, method: 'POST', path: '/chat/1', name, perSecond: 4, forMs: trafficMs,
		deadlineMs: 5000, record, buildHeaders: id => ({
			Authorization: `Token ${key}`, 'X-Laburnumturn-Model': model, 'X-Laburnumturn-Token-Count': '9190,10',
			'X-Laburnumturn-Prompt-Prefix': `5c1e07a2:2520,91bd3f06:3780,${Buffer.from(id).toString('hex')}:2890`,
		}),
	});
	record.write(`${name}: ${calls.filter(({status}) => status === 200).length} of ${calls.length} answered`);
}

await runCase(async record => {
	const foreignUses: Array<ForeignUse & {readonly atMs: number}> = [];
	const deployment = await startDeployment({
		instances: 2, record, tenants: buildTenants(false),
		routes: [{
			name: 'chat', host: callerHost, 'path-prefix': '/chat/', kind: 'streaming', service, 'timeout-ms': 5000, 'target-latency-ms': 500, priority: 1,
			'max-attempts': 1, resumable: false, 'session-affinity': true,
		}],
		services: [{name: service, 'max-connections': 370, engine: {slots: 64, 'kv-capacity-tokens': 118_922, models: [{name: model}]}}],
	});
	deployment.store.put('versions', model, {model, version: 1});
	const engine = await startCacheEngine({
		version: 1,
		onRun(description) {
			record.write(description);
		},
		onForeignUse(use) {
			foreignUses.push({...use, atMs: record.elapsedMs});
			record.write(`${use.id} of ${use.user} uses part ${use.part}, which a request of ${use.maker} made`);
		},
	});
	listTarget(deployment, {
		id: 'engine-1', service, address: engine.address, model,
	});
	try {
		await waitForTraffic(deployment);
		await makeStreams(deployment, 'first', 'wu3fexd9dnn2ctnfzs98', record);
		if (hasTrouble()) {
			deployment.configure(buildTenants(true));
			record.write('configuration: sese880 is isolated');
		}

		const acknowledgedAt = record.elapsedMs;
		await delay(applyMs * 2);
		await makeStreams(deployment, 'second', '9anu6wsjnbanfqasnmgk', record);
		await makeStreams(deployment, 'third', 'wu3fexd9dnn2ctnfzs98', record);
		const broken = hasTrouble()
			? foreignUses.filter(({maker, user, atMs}) => [maker, user].includes('sese880') && atMs > acknowledgedAt + applyMs)
			: [];
		record.conclude(`WALL ${broken.length > 0 ? 'broken' : 'held'}: ${broken.length} parts that another tenant made were used while one of the two was isolated`);
		return broken.length > 0;
	} finally {
		await deployment.close();
		engine.close();
	}
});
