/** Callers that make calls at a steady rate on connections that they keep, and what became of the calls. */

import {Agent, request} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import type {CaseRecord} from './record.js';

/** Calls that are made. */
export type SteadyCallsOptions = {
	readonly addresses: readonly string[];
	readonly host: string;
	readonly method: 'GET' | 'POST';
	readonly path: string;
	/** Prefix of the ids of the calls. */
	readonly name: string;
	/** Calls a second at each address. */
	readonly perSecond: number;
	/** Calls that are made at the same moment; 1 by default. */
	readonly batch?: number;
	readonly forMs: number;
	readonly deadlineMs: number;
	/** Returns the headers of a call beside the usual ones. */
	readonly buildHeaders?: (id: string) => Readonly<Record<string, string>>;
	readonly record: CaseRecord;
};

/** What became of one call. */
export type SteadyCall = {
	readonly id: string;
	readonly address: string;
	/** Whether it was sent on a connection that had carried a call before. */
	readonly isOnKeptConnection: boolean;
	/** Status of the whole answer; 0 without one. */
	readonly status: number;
	/** Whether the instance closed the connection without an answer. */
	readonly isClosed: boolean;
	/** Time from the start of the call to its end, in milliseconds. */
	readonly ms: number;
};

const msPerSecond = 1000;

/** Makes calls at a steady rate; resolves when the last one has ended. */
export async function makeSteadyCalls(options: SteadyCallsOptions): Promise<SteadyCall[]> {
	const {addresses, perSecond, batch = 1, forMs, name, record} = options;
	const agents = new Map(addresses.map(address => [address, new Agent({keepAlive: true})]));
	const calls: Array<Promise<SteadyCall>> = [];
	const endsAt = performance.now() + forMs;
	for (let round = 1; performance.now() < endsAt; round += 1) {
		for (const [index, address] of addresses.entries()) {
			for (let member = 1; member <= batch; member += 1) {
				calls.push(makeCall(options, address, agents.get(address)!, `${name}-${index + 1}-${round}-${member}`));
			}
		}

		await delay(msPerSecond * batch / perSecond);
	}

	const results = await Promise.all(calls);
	for (const {id, address, isOnKeptConnection, status, isClosed, ms} of results) {
		record.write(`call ${id} address=${address} kept=${isOnKeptConnection} status=${status} closed=${isClosed} ms=${ms}`);
	}

	for (const agent of agents.values()) {
		agent.destroy();
	}

	return results;
}

async function makeCall({host, method, path, deadlineMs, buildHeaders}: SteadyCallsOptions, address: string, agent: Agent, id: string): Promise<SteadyCall> {
	const startedAt = performance.now();
	return new Promise(resolve => {
		let hasGivenUp = false;
		const finish = (status: number) => {
			clearTimeout(timer);
			resolve({
				id, address, status, isOnKeptConnection: outbound.reusedSocket, isClosed: status === 0 && !hasGivenUp,
				ms: Math.round(performance.now() - startedAt),
			});
		};

		const outbound = request(`http://${address}${path}`, {
			method, agent, headers: {
				host, 'X-Laburnumturn-Request-Id': id, 'X-Laburnumturn-Deadline-Ms': String(deadlineMs), ...buildHeaders?.(id),
			},
		}, response => {
			response.resume();
			response.once('end', () => {
				finish(response.complete ? response.statusCode ?? 0 : 0);
			});
			response.once('error', () => {
				finish(0);
			});
		});
		const timer = setTimeout(() => {
			hasGivenUp = true;
			outbound.destroy();
		}, deadlineMs);
		outbound.once('error', () => {
			finish(0);
		});
		outbound.end();
	});
}
