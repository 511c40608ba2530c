/** Runs one daemon while a crowd of untrusted callers sends large bodies to it, and makes one ordinary call afterwards. */

import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {demoSecrets} from '../../demo/create-demo-resources/index.js';
import {ProcessUsage} from '../../soak/process-usage/index.js';
import {UntrustedCaller, type UntrustedBody} from '../../soak/untrusted-caller/index.js';
import {Cluster} from '../cluster/index.js';

/** What a run has shown. */
export type UntrustedCallersReport = {
	/** Whether the process ran at the end. */
	readonly isAlive: boolean;
	/** Resident set before the crowd came, and the largest sample of it, in bytes. */
	readonly settledBytes: number;
	readonly peakBytes: number;
	/** Status of the ordinary call after the crowd has left; 0 if it got no answer. */
	readonly statusAfterwards: number;
};

const path = '/orders-north/1';
const authorization = `Bearer ${demoSecrets.north}`;
/** Time for which the crowd keeps its connections after all is sent, in milliseconds. */
const holdMs = 1500;
/** Longest time for which the crowd sends, in milliseconds. */
const sendTimeoutMs = 20_000;
/** Time between the end of the crowd and the ordinary call, in milliseconds. */
const settleMs = 1000;
/** Time after which an ordinary call counts as unanswered, in milliseconds. It only keeps a process that hangs from hanging the test. */
const callTimeoutMs = 60_000;

/** Runs a crowd against a daemon whose settings are `settings`. */
export async function runUntrustedCallers(bodies: readonly UntrustedBody[], settings: Readonly<Record<string, unknown>>): Promise<UntrustedCallersReport> {
	const cluster = new Cluster({daemons: 1, settings});
	const controller = new AbortController();
	try {
		await cluster.start();
		const [daemon] = cluster.daemons;
		const address = cluster.addresses[0]!.caller;
		const usage = new ProcessUsage(() => daemon!.child.pid);
		usage.sample();
		const settledBytes = usage.peakSampledBytes;
		void usage.run(controller.signal);
		const callers = bodies.map(body => new UntrustedCaller({
			address, path, body, headers: {host: address, authorization},
		}));
		await Promise.race([Promise.all(callers.map(async caller => caller.send())), delay(sendTimeoutMs)]);
		await delay(holdMs);
		for (const caller of callers) {
			caller.close();
		}

		await delay(settleMs);
		const statusAfterwards = await call(address);
		return {
			isAlive: daemon!.child.exitCode === null && daemon!.child.signalCode === null,
			settledBytes, statusAfterwards, peakBytes: usage.peakSampledBytes,
		};
	} finally {
		controller.abort();
		await cluster.stop();
	}
}

/** Makes an ordinary call; resolves to its status, or 0 without an answer. */
async function call(address: string): Promise<number> {
	try {
		const response = await request(`http://${address}${path}`, {
			method: 'POST', headers: {authorization}, body: '{}', signal: AbortSignal.timeout(callTimeoutMs),
		});
		await response.body.dump();
		return response.statusCode;
	} catch {
		return 0;
	}
}
