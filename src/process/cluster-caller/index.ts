/** Load generator: callers that send streamed and plain completions to a cluster, for tests and measurements. */

import {setTimeout as delay} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {demoSecrets} from '../../demo/create-demo-resources/index.js';
import {generateTokens} from '../../standin/generate-tokens/index.js';
import type {Cluster} from '../cluster/index.js';

const completionTokens = 24;

/** Results of all callers. */
export type LoadOutcome = {
	/** Calls whose completion arrived whole and correct. */
	readonly complete: number;
	readonly failures: readonly string[];
	/** Refusals because of the token budget, which the instance marks as not run. */
	readonly budgetRefusals: readonly string[];
};

/** Caller that uses an address list until its validity ends, and keeps connections alive. */
class ClusterCaller {
	complete = 0;
	readonly failures: string[] = [];
	readonly budgetRefusals: string[] = [];
	private readonly agent = new Agent({keepAliveTimeout: 60_000, keepAliveMaxTimeout: 60_000});
	private addresses: string[] = [];
	private addressesValidUntil = 0;
	private isStopped = false;

	constructor(private readonly bootstrapAddresses: readonly string[], private readonly index: number) {}

	async run(): Promise<void> {
		for (let callIndex = 0; !this.isStopped; callIndex += 1) {
			const address = await this.chooseAddress(callIndex);
			try {
				await this.send(address, `prompt ${this.index}-${callIndex}`, callIndex % 2 === 0);
				this.complete += 1;
			} catch (error) {
				const {message} = error as Error;
				const isBudgetRefusal = /"code":200[14],"not_run":true/u.test(message);
				(isBudgetRefusal ? this.budgetRefusals : this.failures).push(`${address}: ${message}`);
			}
		}

		await this.agent.destroy();
	}

	stop(): void {
		this.isStopped = true;
	}

	private async chooseAddress(callIndex: number): Promise<string> {
		for (let attempt = 0; Date.now() >= this.addressesValidUntil || this.addresses.length === 0; attempt += 1) {
			await this.fetchAddresses(this.bootstrapAddresses[(this.index + attempt) % this.bootstrapAddresses.length]!);
		}

		return this.addresses[(this.index + callIndex) % this.addresses.length]!;
	}

	/** Fetches the address list from `address`. The platform gives callers any address as a start; one that does not respond is skipped. */
	private async fetchAddresses(address: string): Promise<void> {
		try {
			const response = await request(`http://${address}/v1/instances`, {dispatcher: this.agent});
			const body = await response.body.json() as {instances: Array<{address: string}>; valid_for_seconds: number};
			this.addresses = body.instances.map(instance => instance.address);
			this.addressesValidUntil = Date.now() + (body.valid_for_seconds * 1000);
		} catch {
			await delay(10);
		}
	}

	private async send(address: string, prompt: string, isStreamed: boolean): Promise<void> {
		const response = await request(`http://${address}/v1/completions`, {
			method: 'POST', dispatcher: this.agent, headers: {authorization: `Bearer ${demoSecrets.north}`},
			body: JSON.stringify({
				model: 'assistant', prompt, stream: isStreamed, max_tokens: completionTokens,
			}),
		});
		const text = await response.body.text();
		const generated = [...text.matchAll(/"text":"([^"]*)"/gu)].map(match => match[1]).join('');
		const isEnded = !isStreamed || text.includes('[DONE]');
		if (response.statusCode !== 200 || generated !== generateTokens(prompt, completionTokens).join('') || !isEnded) {
			throw new Error(`status ${response.statusCode}: ${text.slice(-200)}`);
		}
	}
}

/** Starts `count` callers; the returned function stops them and returns their results. */
export async function startLoad(cluster: Cluster, count: number): Promise<() => Promise<LoadOutcome>> {
	const bootstrapAddresses = cluster.addresses.map(address => address.caller);
	const callers = Array.from({length: count}, (_, index) => new ClusterCaller(bootstrapAddresses, index));
	const runs = callers.map(async caller => caller.run());
	return async () => {
		for (const caller of callers) {
			caller.stop();
		}

		await Promise.all(runs);
		return {
			complete: callers.reduce((sum, caller) => sum + caller.complete, 0),
			failures: callers.flatMap(caller => caller.failures),
			budgetRefusals: callers.flatMap(caller => caller.budgetRefusals),
		};
	};
}
