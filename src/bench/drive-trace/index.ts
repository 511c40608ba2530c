/** Sends a trace to the daemons at its own pace and measures what callers see. */

import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {Pool} from 'undici';
import {createPrompt, type TraceRequest} from '../generate-trace/index.js';
import {formatSecret} from '../start-fleet/index.js';

/** What became of one request. */
export type CallOutcome = {
	/** Time from the planned arrival to the first chunk; undefined when there was none. */
	readonly firstTokenMs: number | undefined;
	readonly status: number;
	/** Whether the answer was complete. */
	readonly isComplete: boolean;
	/** Name of the result code of a refusal. */
	readonly refusal: string | undefined;
};

const connectionsPerEntry = 512;
const failed: CallOutcome = {
	firstTokenMs: undefined, status: 0, isComplete: false, refusal: undefined,
};

/** Sends all requests and returns their outcomes in the order of the trace. */
export async function driveTrace(trace: readonly TraceRequest[], entries: readonly string[]): Promise<CallOutcome[]> {
	const pools = entries.map(entry => new Pool(`http://${entry}`, {connections: connectionsPerEntry, headersTimeout: 60_000}));
	const startedAt = performance.now();
	const calls: Array<Promise<CallOutcome>> = [];
	for (const [index, traced] of trace.entries()) {
		const pauseMs = startedAt + traced.atMs - performance.now();
		if (pauseMs > 0) {
			await delay(pauseMs);
		}

		const pool = pools[Math.floor(traced.entry * pools.length)]!;
		calls.push(sendCall(pool, traced, index, startedAt + traced.atMs));
	}

	const outcomes = await Promise.all(calls);
	await Promise.all(pools.map(async pool => pool.close()));
	return outcomes;
}

async function sendCall(pool: Pool, traced: TraceRequest, index: number, plannedAt: number): Promise<CallOutcome> {
	try {
		const answer = await pool.request({
			method: 'POST', path: '/v1/completions',
			headers: {authorization: `Bearer ${formatSecret(traced.organisation)}`, 'content-type': 'application/json'},
			body: JSON.stringify({
				model: 'assistant', prompt: createPrompt(traced, index), stream: true, max_tokens: traced.maximumTokens,
			}),
		});
		if (answer.statusCode !== 200) {
			const {error} = await answer.body.json() as {error: {type: string}};
			return {...failed, status: answer.statusCode, refusal: error.type};
		}

		return await readAnswer(answer.body, plannedAt);
	} catch {
		return failed;
	}
}

async function readAnswer(body: AsyncIterable<Uint8Array>, plannedAt: number): Promise<CallOutcome> {
	let firstTokenMs: number | undefined;
	let last = '';
	for await (const chunk of body) {
		firstTokenMs ??= performance.now() - plannedAt;
		last = (last + Buffer.from(chunk).toString('utf8')).slice(-32);
	}

	return {
		firstTokenMs, status: 200, isComplete: last.includes('[DONE]'), refusal: undefined,
	};
}
