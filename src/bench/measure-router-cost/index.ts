/**
 * Measures the router's overhead: the latency that it adds at half of its capacity, and its processor time per request
 * and per streamed chunk. Engine, object API and router run as separate processes, and the engine answers without delay.
 *
 * Usage: node --import tsx src/bench/measure-router-cost/index.ts [seconds per phase]
 */

import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {availableParallelism, loadavg, tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {build, type Histogram} from 'hdr-histogram-js';
import {Pool} from 'undici';
import VError from 'verror';
import {createDemoResources, demoSecrets} from '../../demo/create-demo-resources/index.js';
import {HttpObjectApi} from '../../store/http-object-api/index.js';
import {reservePorts} from '../../process/reserve-ports/index.js';
import {startProcess, type StartedProcess} from '../../process/start-process/index.js';
import {collectionByKind, formatObjectName} from '../../resources/schemas/index.js';

const defaultPhaseSeconds = 5;
const msPerSecond = 1000;
const microsecondsPerMs = 1000;
/** Clock ticks per second in `/proc/<pid>/stat`. */
const clockTicksPerSecond = 100;
const shortAnswerTokens = 8;
const longAnswerTokens = 512;
const connectionsPerPool = 64;
const maximumReadyAttempts = 100;
const prompt = 'Which list matches the catalogue? '.repeat(30);

/** Endpoint that requests are sent to: the router, or the engine directly. */
type Endpoint = {readonly pool: Pool; readonly model: string; readonly headers: Record<string, string>};
type Latencies = {readonly firstChunk: Histogram; readonly wholeAnswer: Histogram};

class RouterCostMeasurement {
	private readonly startedProcesses: StartedProcess[] = [];
	private directory = '';
	private daemon!: StartedProcess;
	private routed!: Endpoint;
	private direct!: Endpoint;

	constructor(private readonly phaseMs: number) {}

	async run(): Promise<string[]> {
		try {
			await this.start();
			return await this.measure();
		} finally {
			await Promise.all([this.routed?.pool.destroy(), this.direct?.pool.destroy()]);
			await Promise.all(this.startedProcesses.map(async child => child.end('SIGKILL')));
			await rm(this.directory, {recursive: true, force: true});
		}
	}

	private async measure(): Promise<string[]> {
		await this.runClosedLoop(this.phaseMs / 2, 32, shortAnswerTokens);
		const capacity = await this.runClosedLoop(this.phaseMs, 32, shortAnswerTokens);
		const lines = [
			`capacity with 32 callers: ${capacity.perSecond.toFixed(0)} requests/s of ${shortAnswerTokens} chunks, router ${formatCpuTime(capacity.cpuMs, capacity.requests)}`,
		];
		const halfLoad = await this.runOpenLoop(capacity.perSecond / 2);
		lines.push(
			`half load: ${(capacity.perSecond / 2).toFixed(0)} requests/s through the router beside ${(capacity.perSecond / 20).toFixed(0)}/s to the engine`,
			formatAddedLatency('first chunk', halfLoad.routed.firstChunk, halfLoad.direct.firstChunk),
			formatAddedLatency('whole answer', halfLoad.routed.wholeAnswer, halfLoad.direct.wholeAnswer),
		);
		const singleChunk = await this.runClosedLoop(this.phaseMs, 8, 1);
		const longStream = await this.runClosedLoop(this.phaseMs, 8, longAnswerTokens);
		const perChunk = ((longStream.cpuMs / longStream.requests) - (singleChunk.cpuMs / singleChunk.requests)) / (longAnswerTokens - 1);
		lines.push(
			`requests of one chunk: router ${formatCpuTime(singleChunk.cpuMs, singleChunk.requests)}`,
			`streams of ${longAnswerTokens} chunks: ${(longStream.perSecond * longAnswerTokens).toFixed(0)} chunks/s, router ${(perChunk * microsecondsPerMs).toFixed(1)} us of processor time per chunk`,
		);
		return lines;
	}

	/** Closed loop: each of `callers` callers sends its next request after the previous answer. */
	private async runClosedLoop(durationMs: number, callers: number, tokens: number): Promise<{requests: number; perSecond: number; cpuMs: number}> {
		const cpuBefore = await this.readCpuMs();
		const startedAt = performance.now();
		let requests = 0;
		await Promise.all(Array.from({length: callers}, async () => {
			while (performance.now() - startedAt < durationMs) {
				await sendRequest(this.routed, tokens);
				requests += 1;
			}
		}));
		const elapsedMs = performance.now() - startedAt;
		return {requests, perSecond: requests / elapsedMs * msPerSecond, cpuMs: await this.readCpuMs() - cpuBefore};
	}

	/** Open loop: sends requests at a fixed rate, without waiting for answers. Every tenth one also goes directly to the engine, for comparison. */
	private async runOpenLoop(perSecond: number): Promise<{routed: Latencies; direct: Latencies}> {
		const routed = createLatencies();
		const direct = createLatencies();
		const pending: Array<Promise<void>> = [];
		const startedAt = performance.now();
		const totalCount = Math.floor(perSecond * this.phaseMs / msPerSecond);
		for (let sentCount = 0; sentCount < totalCount;) {
			const dueCount = Math.min(totalCount, Math.floor((performance.now() - startedAt) / msPerSecond * perSecond));
			for (; sentCount < dueCount; sentCount += 1) {
				pending.push(measureRequest(this.routed, routed));
				if (sentCount % 10 === 0) {
					pending.push(measureRequest(this.direct, direct));
				}
			}

			await delay(1);
		}

		await Promise.all(pending);
		return {routed, direct};
	}

	private async start(): Promise<void> {
		this.directory = await mkdtemp(join(tmpdir(), 'laburnumturn-cost-'));
		const engineArguments = ['engine', '--model', 'base@v1', '--slots', '512', '--prefill-tokens-per-ms', '100000', '--decode-ms-per-token', '0'];
		const [engine, store] = await Promise.all([this.startChildProcess('standin', engineArguments), this.startChildProcess('standin', ['object-api'])]);
		const api = new HttpObjectApi({origin: `http://${store.address}`});
		const targets = {north: {engines: [engine.address], service: '127.0.0.1:9'}, south: {engines: [], service: '127.0.0.1:9'}};
		for (const resource of createDemoResources(targets)) {
			const unlimited = resource.kind === 'Organisation' ? {tokensPerSecond: 1e9, burstTokens: 1e9} : {};
			await api.create(collectionByKind[resource.kind], formatObjectName(resource), {...resource, ...unlimited});
		}

		await api.close();
		const ports = await reservePorts(3);
		const [caller, peer, admin] = ports.map(port => `127.0.0.1:${port}`);
		const file = join(this.directory, 'entry.jsonc');
		await writeFile(file, JSON.stringify({
			instance: 'entry-0', fleet: 'north', dataCentre: 'north-0', listen: {caller, peer, admin}, platform: {objectApi: `http://${store.address}`},
		}));
		this.daemon = await this.startChildProcess('laburnumturnd', ['--settings', file]);
		this.routed = createEndpoint(this.daemon.address, 'assistant', {authorization: `Bearer ${demoSecrets.north}`});
		this.direct = createEndpoint(engine.address, 'base', {});
		await waitUntilServed(this.routed);
	}

	private async startChildProcess(name: 'standin' | 'laburnumturnd', programArguments: readonly string[]): Promise<StartedProcess> {
		const started = await startProcess(name, programArguments);
		this.startedProcesses.push(started);
		return started;
	}

	/** Reads the router's total processor time in milliseconds. */
	private async readCpuMs(): Promise<number> {
		const text = await readFile(`/proc/${this.daemon.child.pid}/stat`, 'utf8');
		const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
		return (Number(fields[11]) + Number(fields[12])) / clockTicksPerSecond * msPerSecond;
	}
}

function createEndpoint(address: string, model: string, headers: Record<string, string>): Endpoint {
	return {pool: new Pool(`http://${address}`, {connections: connectionsPerPool, pipelining: 1}), model, headers};
}

function createLatencies(): Latencies {
	return {firstChunk: build({numberOfSignificantValueDigits: 3}), wholeAnswer: build({numberOfSignificantValueDigits: 3})};
}

async function sendRequest({pool, model, headers}: Endpoint, tokens: number, onFirstChunk?: () => void): Promise<void> {
	const answer = await pool.request({
		method: 'POST', path: '/v1/completions', headers: {'content-type': 'application/json', ...headers},
		body: JSON.stringify({
			model, prompt, stream: true, max_tokens: tokens,
		}),
	});
	let lastChunk = '';
	for await (const chunk of answer.body) {
		onFirstChunk?.();
		onFirstChunk = undefined;
		lastChunk = (chunk as Buffer).toString('latin1');
	}

	if (answer.statusCode !== 200 || !lastChunk.endsWith('data: [DONE]\n\n')) {
		throw new VError('incomplete answer or unexpected status %d, answer ends with: %s', answer.statusCode, lastChunk.slice(-200));
	}
}

async function measureRequest(endpoint: Endpoint, latencies: Latencies): Promise<void> {
	const startedAt = performance.now();
	const record = (histogram: Histogram) => {
		histogram.recordValue(Math.round((performance.now() - startedAt) * microsecondsPerMs));
	};

	await sendRequest(endpoint, shortAnswerTokens, () => {
		record(latencies.firstChunk);
	});
	record(latencies.wholeAnswer);
}

async function waitUntilServed(endpoint: Endpoint): Promise<void> {
	for (let attempt = 1; ; attempt += 1) {
		try {
			await sendRequest(endpoint, 1);
			return;
		} catch (error) {
			if (attempt === maximumReadyAttempts) {
				throw error;
			}

			await delay(100);
		}
	}
}

function formatCpuTime(cpuMs: number, requests: number): string {
	return `${(cpuMs / requests * microsecondsPerMs).toFixed(0)} us of processor time per request`;
}

/** Formats the added latency: the difference of the two distributions at each percentile. */
function formatAddedLatency(label: string, routed: Histogram, direct: Histogram): string {
	const parts = [50, 99].map(percentile => {
		const routedMs = routed.getValueAtPercentile(percentile) / microsecondsPerMs;
		const directMs = direct.getValueAtPercentile(percentile) / microsecondsPerMs;
		return `p${percentile} ${routedMs.toFixed(2)} ms through the router, ${directMs.toFixed(2)} ms direct, ${(routedMs - directMs).toFixed(2)} ms added`;
	});
	return `${label}: ${parts.join('; ')} (${routed.totalCount} requests)`;
}

const seconds = Number(process.argv[2] ?? defaultPhaseSeconds);
const measurement = new RouterCostMeasurement(seconds * msPerSecond);
const lines = [`load of the machine before: ${loadavg()[0]!.toFixed(1)} on ${availableParallelism()} cores`, ...await measurement.run()];
process.stdout.write(`${lines.join('\n')}\n`);
