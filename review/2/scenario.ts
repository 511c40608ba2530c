/** A gateway is killed while it passes on answers that have neither a length nor chunks. */

import type {ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {runCase} from '../harness/run-case/index.js';
import {sendRequest, type ClientAnswer} from '../harness/send-request/index.js';

const gatewayCount = 8;
const eventCount = 10;
const eventPauseMs = 150;
const halves = ['first half, ', 'second half'] as const;
const halfPauseMs = 400;
const callsPerKind = 12;
const callPauseMs = 25;
const deadlineMs = 5000;
const killAfterMs = 500;
const key = 'key-1';
const wholeBody = halves.join('');

await runCase(async ({record, deployment, isTroubled}) => {
	await deployment.startStore();
	deployment.configure({
		routes: [{prefix: '/draft/', kind: 'streaming', service: 'desk'}, {prefix: '/book/', kind: 'non_idempotent', service: 'desk'}],
		tenants: [{name: 'tenant-1', keys: [key]}],
	});
	for (const id of ['w1', 'w2', 'w3']) {
		await deployment.startTarget({
			id, service: 'desk',
			async respond({path}, _message, response) {
				response.useChunkedEncodingByDefault = false;
				response.shouldKeepAlive = false;
				await (path.startsWith('/draft/') ? sendStream(response) : sendHalves(response));
			},
		});
	}

	await deployment.startGateways(gatewayCount);
	await delay(3000);
	const killed = deployment.gateways[0]!;
	const answers: Array<Promise<ClientAnswer>> = [];
	for (let number = 1; number <= callsPerKind; number += 1) {
		for (const path of [`/draft/${number}`, `/book/${number}`]) {
			answers.push(sendRequest({
				id: `r${path}`, address: killed.callerAddress, method: 'POST', path, key, deadlineMs,
			}, record));
		}

		await delay(callPauseMs);
	}

	await delay(killAfterMs - (callsPerKind * callPauseMs));
	if (isTroubled) {
		record.note('kill', {gateway: killed.options.name});
		killed.kill();
	}

	const breaches: string[] = [];
	for (const {id, status, hasSeal, isComplete, text} of await Promise.all(answers)) {
		const isSuccess = status === 200 && hasSeal && isComplete;
		if (isSuccess && id.startsWith('r/draft/') && text.endsWith('\n\n') && countEvents(text) < eventCount) {
			breaches.push(`ORDER: stream ${id} ended as complete after ${countEvents(text)} of ${eventCount} events`);
		} else if (isSuccess && id.startsWith('r/book/') && text !== wholeBody) {
			breaches.push(`MIXED: answer ${id} ended as complete after ${text.length} of ${wholeBody.length} bytes`);
		}
	}

	return breaches;
});

/** Sends events and ends the body with the connection. */
async function sendStream(response: ServerResponse): Promise<void> {
	response.writeHead(200, {'content-type': 'text/event-stream'});
	for (let event = 1; event <= eventCount; event += 1) {
		response.write(`id: ${event}\ndata: piece ${event}\n\n`);
		await delay(eventPauseMs);
	}

	response.end();
}

/** Sends a body in two parts and ends it with the connection. */
async function sendHalves(response: ServerResponse): Promise<void> {
	response.writeHead(200, {'content-type': 'text/plain'});
	response.write(halves[0]);
	await delay(halfPauseMs);
	response.end(halves[1]);
}

function countEvents(text: string): number {
	return text.split('\n\n').length - 1;
}
