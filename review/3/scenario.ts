/** A gateway that is cut off from all workers passes calls on to another gateway, and that one is suspended. */

import {setTimeout as delay} from 'node:timers/promises';
import {TargetPaths} from '../../platform/soak/target-paths/index.js';
import {runCase} from '../harness/run-case/index.js';
import {sendRequest, type ClientAnswer} from '../harness/send-request/index.js';

const gatewayCount = 8;
const workMs = 60;
const timeoutMs = 800;
const deadlineMs = 1500;
const lateMs = 500;
const intervalMs = 12;
const freezeMs = 5000;
const key = 'key-1';

const paths = new TargetPaths();
await runCase(async ({record, deployment, isTroubled}) => {
	await deployment.startStore();
	deployment.configure({
		routes: [
			{
				prefix: '/read/', kind: 'idempotent', service: 'desk', timeoutMs, attempts: 2,
			},
			{
				prefix: '/book/', kind: 'non_idempotent', service: 'desk', timeoutMs,
			},
		],
		tenants: [{name: 'tenant-1', keys: [key]}],
	});
	for (const id of ['w1', 'w2', 'w3']) {
		const target = await deployment.startTarget({
			id, service: 'desk',
			async respond(_run, _message, response) {
				await delay(workMs);
				response.end('done');
			},
		});
		await paths.add((target.buildEntry() as {address: string}).address);
	}

	await deployment.startGateways(gatewayCount, async host => paths.openView(deployment.store, host));
	await delay(3000);
	const [cutOff, frozen] = deployment.gateways;
	const answers: Array<Promise<ClientAnswer>> = [];
	const sending = new AbortController();
	const send = async () => {
		for (let number = 1; !sending.signal.aborted; number += 1) {
			const isRead = number % 2 === 0;
			answers.push(sendRequest({
				id: `r${number}`, address: cutOff!.callerAddress, method: isRead ? 'GET' : 'POST', path: `/${isRead ? 'read' : 'book'}/${number}`, key, deadlineMs,
			}, record));
			await delay(intervalMs);
		}
	};

	if (isTroubled) {
		record.note('cut: gateway from all workers', {gateway: cutOff!.options.name});
		paths.setMode(cutOff!.options.host, 'refuse');
	}

	// The gateway has `contact-ms` to notice the cut.
	await delay(3000);
	const sent = send();
	await delay(1500);
	if (isTroubled) {
		record.note('freeze', {gateway: frozen!.options.name, ms: freezeMs});
		await frozen!.pause(freezeMs);
		record.note('thaw', {gateway: frozen!.options.name});
	} else {
		await delay(freezeMs);
	}

	await delay(1000);
	sending.abort();
	await sent;
	const all = await Promise.all(answers);
	paths.close();
	const unanswered = all.filter(({endMs}) => endMs > timeoutMs);
	const late = unanswered.filter(({endMs, isGivenUp}) => isGivenUp || endMs > timeoutMs + lateMs);
	const served = all.filter(({status}) => status === 200);
	record.note('summary', {
		sent: all.length, served: served.length, unansweredAtTimeout: unanswered.length, unansweredHalfASecondLater: late.length,
	});
	return late.length >= 8 && late.length > unanswered.length / 2
		? [`CONFIG: of ${unanswered.length} requests unanswered at their route's timeout-ms, ${late.length} have no answer ${lateMs} ms later`]
		: [];
});
