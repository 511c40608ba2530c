/** The holder of the rollout lease loses power and returns; then the store comes back from a copy in which it still holds the lease. */

import {setTimeout as delay} from 'node:timers/promises';
import {runCase, type CaseContext} from '../harness/run-case/index.js';
import {SilentPath} from '../harness/silent-path/index.js';
import type {SoakInstance} from '../../src/soak/soak-instance/index.js';

const gatewayCount = 3;
/** The disruptions come up to so many times, until the rule is broken. */
const maximumRounds = 4;
const model = 'model-1';
const darkMs = 3500;
const outageMs = 800;
const rewriteMs = 300;

type LeaseObject = {readonly spec: {readonly holder: string; readonly fencing: number}};

await runCase(async context => {
	const {record, deployment, isTroubled} = context;
	await deployment.startStore();
	const configuration = {
		routes: [{prefix: '/draft/', kind: 'streaming', service: 'engines'}], tenants: [{name: 'tenant-1', keys: ['key-1']}], engineModels: {engines: model},
	} as const;
	deployment.configure(configuration);
	const nameWeights = (version: number) => {
		deployment.store.put('versions', model, {model, version});
		record.note('weights named', {version});
	};

	nameWeights(1);
	for (const id of ['e1', 'e2', 'e3']) {
		await deployment.startTarget({
			id, service: 'engines', model: {name: model, version: 1},
			respond(_run, _message, response) {
				response.end();
			},
		});
	}

	const path = new SilentPath(deployment.store.address);
	const storeAddress = await path.listen();
	await deployment.startGateways(gatewayCount, async () => storeAddress);
	await delay(3000);
	let breaches: string[] = [];
	for (let round = 1; round <= maximumRounds && breaches.length === 0; round += 1) {
		const versions = {first: 2 * round, second: (2 * round) + 1};
		const first = await findHolder(context);
		const copy = deployment.store.copy();
		record.note('copy of the store made', {round, holder: first.options.name});
		await delay(300);
		if (isTroubled) {
			record.note('power lost', {gateway: first.options.name});
			void first.pause(darkMs + 100);
			await delay(darkMs);
			first.kill();
			record.note('power back', {gateway: first.options.name});
		} else {
			await delay(darkMs);
		}

		nameWeights(versions.first);
		await waitForVersion(context, versions.first);
		await delay(500);
		if (isTroubled) {
			record.note('store away');
			path.leave();
			await delay(outageMs);
			deployment.store.restore(copy);
			path.return();
			record.note('store back from the copy');
			await delay(rewriteMs);
			deployment.configure(configuration);
			nameWeights(versions.first);
			for (const target of deployment.targets) {
				deployment.announce(target);
			}
		}

		nameWeights(versions.second);
		await waitForVersion(context, versions.second);
		breaches = findSharedTokens(context);
	}

	path.close();
	return breaches;
});

/** Finds fencing tokens with which a worker got orders of two machines. */
function findSharedTokens({deployment: {targets}}: CaseContext): string[] {
	return targets.flatMap(({options: {id}, orders}) => {
		const holdersByFence = new Map(orders.map(({fence}) => [fence, [...new Set(orders.filter(order => order.fence === fence).map(({holder}) => holder))]]));
		return [...holdersByFence].filter(([, holders]) => holders.length > 1)
			.map(([fence, holders]) => `ONE: ${id} got orders of ${holders.join(' and ')} with the fencing token ${fence}`);
	});
}

/** Waits until a gateway holds the rollout lease. */
async function findHolder({deployment: {store, gateways}, record}: CaseContext): Promise<SoakInstance> {
	for (;;) {
		const answer = await fetch(`http://${store.address}/-/objects/leases/rollout`);
		const text = await answer.text();
		if (answer.status === 200) {
			const {spec: {holder, fencing}} = JSON.parse(text) as LeaseObject;
			record.note('lease', {holder, fencing});
			return gateways.find(({options: {host}}) => host === holder)!;
		}

		await delay(100);
	}
}

/** Resolves when all workers have loaded `version`. */
async function waitForVersion({deployment: {targets}}: CaseContext, version: number): Promise<void> {
	const end = Date.now() + 20_000;
	while (Date.now() < end && !targets.every(({orders}) => orders.some(order => order.version === version))) {
		await delay(50);
	}
}
