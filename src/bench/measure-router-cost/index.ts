/**
 * Measures what the router costs: the latency that it adds at half of its capacity, and its processor time per request
 * and per streamed chunk. Engine, object API and router run as processes of their own; the engine answers at once.
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
const usPerMs = 1000;
/** Clock ticks per second in `/proc/<pid>/stat`. */
const ticksPerSecond = 100;
const shortTokens = 8;
const longTokens = 512;
const connections = 64;
const readyTries = 100;
const prompt = 'Which list matches the catalogue? '.repeat(30);

/** Where requests go: through the router, or to the engine itself. */
type Path = {readonly pool: Pool; readonly model: string; readonly headers: Record<string, string>};
type Latencies = {readonly first: Histogram; readonly whole: Histogram};

class RouterCostMeasurement {
	private readonly started: StartedProcess[] = [];
	private directory = '';
	private daemon!: StartedProcess;
	private routed!: Path;
	private direct!: Path;

	constructor(private readonly phaseMs: number) {}

	async run(): Promise<string[]> {
		try {
			await this.start();
			return await this.measure();
		} finally {
			await Promise.all([this.routed?.pool.destroy(), this.direct?.pool.destroy()]);
			await Promise.all(this.started.map(async each => each.end('SIGKILL')));
			await rm(this.directory, {recursive: true, force: true});
		}
	}

	private async measure(): Promise<string[]> {
		await this.runClosed(this.phaseMs / 2, 32, shortTokens);
		const capacity = await this.runClosed(this.phaseMs, 32, shortTokens);
		const lines = [
			`capacity with 32 callers: ${capacity.perSecond.toFixed(0)} requests/s of ${shortTokens} chunks, router ${formatCpu(capacity.cpuMs, capacity.requests)}`,
		];
		const half = await this.runOpen(capacity.perSecond / 2);
		lines.push(
			`half load: ${(capacity.perSecond / 2).toFixed(0)} requests/s through the router beside ${(capacity.perSecond / 20).toFixed(0)}/s to the engine`,
			formatAdded('first chunk', half.routed.first, half.direct.first),
			formatAdded('whole answer', half.routed.whole, half.direct.whole),
		);
		const one = await this.runClosed(this.phaseMs, 8, 1);
		const long = await this.runClosed(this.phaseMs, 8, longTokens);
		const perChunk = ((long.cpuMs / long.requests) - (one.cpuMs / one.requests)) / (longTokens - 1);
		lines.push(
			`requests of one chunk: router ${formatCpu(one.cpuMs, one.requests)}`,
			`streams of ${longTokens} chunks: ${(long.perSecond * longTokens).toFixed(0)} chunks/s, router ${(perChunk * usPerMs).toFixed(1)} us of processor time per chunk`,
		);
		return lines;
	}

	/** Sends requests one after the other from `callers` callers. */
	private async runClosed(durationMs: number, callers: number, tokens: number): Promise<{requests: number; perSecond: number; cpuMs: number}> {
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

	/** Sends requests at a fixed rate whatever the answers do; each tenth one also goes to the engine itself, for comparison. */
	private async runOpen(perSecond: number): Promise<{routed: Latencies; direct: Latencies}> {
		const routed = createLatencies();
		const direct = createLatencies();
		const pending: Array<Promise<void>> = [];
		const startedAt = performance.now();
		const total = Math.floor(perSecond * this.phaseMs / msPerSecond);
		for (let sent = 0; sent < total;) {
			const due = Math.min(total, Math.floor((performance.now() - startedAt) / msPerSecond * perSecond));
			for (; sent < due; sent += 1) {
				pending.push(measureRequest(this.routed, routed));
				if (sent % 10 === 0) {
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
		const [engine, store] = await Promise.all([this.startOne('standin', engineArguments), this.startOne('standin', ['object-api'])]);
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
		this.daemon = await this.startOne('laburnumturnd', ['--settings', file]);
		this.routed = createPath(this.daemon.address, 'assistant', {authorization: `Bearer ${demoSecrets.north}`});
		this.direct = createPath(engine.address, 'base', {});
		await waitUntilServed(this.routed);
	}

	private async startOne(name: 'standin' | 'laburnumturnd', programArguments: readonly string[]): Promise<StartedProcess> {
		const started = await startProcess(name, programArguments);
		this.started.push(started);
		return started;
	}

	/** Processor time of the router so far, in milliseconds. */
	private async readCpuMs(): Promise<number> {
		const text = await readFile(`/proc/${this.daemon.child.pid}/stat`, 'utf8');
		const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
		return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond * msPerSecond;
	}
}

function createPath(address: string, model: string, headers: Record<string, string>): Path {
	return {pool: new Pool(`http://${address}`, {connections, pipelining: 1}), model, headers};
}

function createLatencies(): Latencies {
	return {first: build({numberOfSignificantValueDigits: 3}), whole: build({numberOfSignificantValueDigits: 3})};
}

async function sendRequest({pool, model, headers}: Path, tokens: number, onFirst?: () => void): Promise<void> {
	const answer = await pool.request({
		method: 'POST', path: '/v1/completions', headers: {'content-type': 'application/json', ...headers},
		body: JSON.stringify({
			model, prompt, stream: true, max_tokens: tokens,
		}),
	});
	let last = '';
	for await (const part of answer.body) {
		onFirst?.();
		onFirst = undefined;
		last = (part as Buffer).toString('latin1');
	}

	if (answer.statusCode !== 200 || !last.endsWith('data: [DONE]\n\n')) {
		throw new VError('status %d, end of the answer: %s', answer.statusCode, last.slice(-200));
	}
}

async function measureRequest(path: Path, latencies: Latencies): Promise<void> {
	const startedAt = performance.now();
	const record = (histogram: Histogram) => {
		histogram.recordValue(Math.round((performance.now() - startedAt) * usPerMs));
	};

	await sendRequest(path, shortTokens, () => {
		record(latencies.first);
	});
	record(latencies.whole);
}

async function waitUntilServed(path: Path): Promise<void> {
	for (let tries = 1; ; tries += 1) {
		try {
			await sendRequest(path, 1);
			return;
		} catch (error) {
			if (tries === readyTries) {
				throw error;
			}

			await delay(100);
		}
	}
}

function formatCpu(cpuMs: number, requests: number): string {
	return `${(cpuMs / requests * usPerMs).toFixed(0)} us of processor time per request`;
}

/** The added latency at a quantile is the difference of the two distributions at that quantile. */
function formatAdded(label: string, routed: Histogram, direct: Histogram): string {
	const parts = [50, 99].map(percentile => {
		const through = routed.getValueAtPercentile(percentile) / usPerMs;
		const without = direct.getValueAtPercentile(percentile) / usPerMs;
		return `p${percentile} ${through.toFixed(2)} ms through the router, ${without.toFixed(2)} ms direct, ${(through - without).toFixed(2)} ms added`;
	});
	return `${label}: ${parts.join('; ')} (${routed.totalCount} requests)`;
}

const seconds = Number(process.argv[2] ?? defaultPhaseSeconds);
const measurement = new RouterCostMeasurement(seconds * msPerSecond);
const lines = [`load of the machine before: ${loadavg()[0]!.toFixed(1)} on ${availableParallelism()} cores`, ...await measurement.run()];
process.stdout.write(`${lines.join('\n')}\n`);
