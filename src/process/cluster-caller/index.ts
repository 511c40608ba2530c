/** Callers that load a cluster with streamed and plain completions, for tests and measurements. */

import {setTimeout as delay} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {demoSecrets} from '../../demo/create-demo-resources/index.js';
import {generateTokens} from '../../standin/generate-tokens/index.js';
import type {Cluster} from '../cluster/index.js';

const tokens = 24;

/** What callers got. */
export type LoadOutcome = {readonly complete: number; readonly failures: readonly string[]};

/** A caller that keeps an address answer for exactly as long as it may, and its connections alive. */
class ClusterCaller {
	complete = 0;
	readonly failures: string[] = [];
	private readonly agent = new Agent({keepAliveTimeout: 60_000, keepAliveMaxTimeout: 60_000});
	private known: string[] = [];
	private validUntil = 0;
	private isStopped = false;

	constructor(private readonly bootstrap: readonly string[], private readonly index: number) {}

	async run(): Promise<void> {
		for (let turn = 0; !this.isStopped; turn += 1) {
			const address = await this.chooseAddress(turn);
			try {
				await this.send(address, `prompt ${this.index}-${turn}`, turn % 2 === 0);
				this.complete += 1;
			} catch (error) {
				this.failures.push(`${address}: ${(error as Error).message}`);
			}
		}

		await this.agent.destroy();
	}

	stop(): void {
		this.isStopped = true;
	}

	private async chooseAddress(turn: number): Promise<string> {
		for (let attempt = 0; Date.now() >= this.validUntil || this.known.length === 0; attempt += 1) {
			await this.askForAddresses(this.bootstrap[(this.index + attempt) % this.bootstrap.length]!);
		}

		return this.known[(this.index + turn) % this.known.length]!;
	}

	/** The platform tells callers some address to ask; one that does not answer is passed over. */
	private async askForAddresses(address: string): Promise<void> {
		try {
			const answer = await request(`http://${address}/v1/instances`, {dispatcher: this.agent});
			const body = await answer.body.json() as {instances: Array<{address: string}>; valid_for_seconds: number};
			this.known = body.instances.map(instance => instance.address);
			this.validUntil = Date.now() + (body.valid_for_seconds * 1000);
		} catch {
			await delay(10);
		}
	}

	private async send(address: string, prompt: string, isStreamed: boolean): Promise<void> {
		const answer = await request(`http://${address}/v1/completions`, {
			method: 'POST', dispatcher: this.agent, headers: {authorization: `Bearer ${demoSecrets.north}`},
			body: JSON.stringify({
				model: 'assistant', prompt, stream: isStreamed, max_tokens: tokens,
			}),
		});
		const text = await answer.body.text();
		const generated = [...text.matchAll(/"text":"([^"]*)"/gu)].map(match => match[1]).join('');
		const isEnded = !isStreamed || text.includes('[DONE]');
		if (answer.statusCode !== 200 || generated !== generateTokens(prompt, tokens).join('') || !isEnded) {
			throw new Error(`status ${answer.statusCode}: ${text.slice(-200)}`);
		}
	}
}

/** Starts `count` callers; the returned function ends them and tells what came back. */
export async function startLoad(cluster: Cluster, count: number): Promise<() => Promise<LoadOutcome>> {
	const bootstrap = cluster.addresses.map(address => address.caller);
	const callers = Array.from({length: count}, (_, index) => new ClusterCaller(bootstrap, index));
	const runs = callers.map(async caller => caller.run());
	return async () => {
		for (const caller of callers) {
			caller.stop();
		}

		await Promise.all(runs);
		return {
			complete: callers.reduce((sum, caller) => sum + caller.complete, 0),
			failures: callers.flatMap(caller => caller.failures),
		};
	};
}
