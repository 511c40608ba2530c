/** Sends the requests of a trace to the daemons at their planned times and measures the latency and outcome that callers see. */

import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {Pool} from 'undici';
import {createPrompt, type TraceRequest} from '../generate-trace/index.js';
import {formatSecret} from '../start-fleet/index.js';

/** Outcome of one request. */
export type CallOutcome = {
	/** Time from the planned arrival to the first chunk, or undefined if none arrived. */
	readonly firstTokenMs: number | undefined;
	readonly status: number;
	/** Whether the answer ended with `[DONE]`. */
	readonly isComplete: boolean;
	/** Name of the result code of a refusal. */
	readonly refusal: string | undefined;
};

const connectionsPerInstance = 512;
const failedOutcome: CallOutcome = {
	firstTokenMs: undefined, status: 0, isComplete: false, refusal: undefined,
};

/** Sends all requests and returns their outcomes in the order of the trace. */
export async function driveTrace(trace: readonly TraceRequest[], entries: readonly string[]): Promise<CallOutcome[]> {
	const pools = entries.map(entry => new Pool(`http://${entry}`, {connections: connectionsPerInstance, headersTimeout: 60_000}));
	const startedAt = performance.now();
	const calls: Array<Promise<CallOutcome>> = [];
	for (const [index, request] of trace.entries()) {
		const waitMs = startedAt + request.atMs - performance.now();
		if (waitMs > 0) {
			await delay(waitMs);
		}

		const pool = pools[Math.floor(request.entry * pools.length)]!;
		calls.push(sendRequest(pool, request, index, startedAt + request.atMs));
	}

	const outcomes = await Promise.all(calls);
	await Promise.all(pools.map(async pool => pool.close()));
	return outcomes;
}

async function sendRequest(pool: Pool, request: TraceRequest, index: number, plannedAt: number): Promise<CallOutcome> {
	try {
		const answer = await pool.request({
			method: 'POST', path: '/v1/completions',
			headers: {authorization: `Bearer ${formatSecret(request.organisation)}`, 'content-type': 'application/json'},
			body: JSON.stringify({
				model: 'assistant', prompt: createPrompt(request, index), stream: true, max_tokens: request.maximumTokens,
			}),
		});
		if (answer.statusCode !== 200) {
			const {error} = await answer.body.json() as {error: {type: string}};
			return {...failedOutcome, status: answer.statusCode, refusal: error.type};
		}

		return await readAnswer(answer.body, plannedAt);
	} catch {
		return failedOutcome;
	}
}

async function readAnswer(body: AsyncIterable<Uint8Array>, plannedAt: number): Promise<CallOutcome> {
	let firstTokenMs: number | undefined;
	let answerEnd = '';
	for await (const chunk of body) {
		firstTokenMs ??= performance.now() - plannedAt;
		answerEnd = (answerEnd + Buffer.from(chunk).toString('utf8')).slice(-32);
	}

	return {
		firstTokenMs, status: 200, isComplete: answerEnd.includes('[DONE]'), refusal: undefined,
	};
}
