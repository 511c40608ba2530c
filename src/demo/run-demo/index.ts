/**
 * Runs the demo. It starts simulated targets and three daemons in different data centres, creates the resources
 * of two fleets, and sends requests through several daemons before and after a daemon and an engine are killed.
 */

import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {request} from 'undici';
import VError from 'verror';
import {HttpObjectApi} from '../../store/http-object-api/index.js';
import {reservePorts} from '../../process/reserve-ports/index.js';
import {startProcess, type StartedProcess} from '../../process/start-process/index.js';
import {collectionByKind, formatObjectName} from '../../resources/schemas/index.js';
import {generateTokens} from '../../standin/generate-tokens/index.js';
import {createDemoResources, demoSecrets} from '../create-demo-resources/index.js';

const daemonCount = 3;
const readyTimeoutMs = 15_000;
const retryDelayMs = 100;
const maximumAttempts = 20;
const generatedTokens = 8;

type StepResult = {step: string; sent: number; complete: number; retryCount: number};

class Demo {
	readonly started: StartedProcess[] = [];
	readonly results: StepResult[] = [];
	readonly log: string[] = [];
	private directory = '';

	async run(): Promise<boolean> {
		try {
			this.directory = await mkdtemp(join(tmpdir(), 'laburnumturn-demo-'));
			await this.runSteps();
			return this.results.every(result => result.sent === result.complete);
		} finally {
			await Promise.all(this.started.map(async process => process.end('SIGKILL')));
			await rm(this.directory, {recursive: true, force: true});
		}
	}

	private async runSteps(): Promise<void> {
		const [objectApi, instanceList] = await Promise.all([this.start('standin', ['object-api']), this.start('standin', ['instance-list'])]);
		const north = await this.startFleet('v1', 'orders-north');
		const south = await this.startFleet('v2', 'orders-south');
		await writeResources(objectApi.address, {
			north: {engines: north.engines.map(engine => engine.address), service: north.service.address},
			south: {engines: south.engines.map(engine => engine.address), service: south.service.address},
		});
		const daemons = await this.startDaemons(objectApi.address, instanceList.address);
		const addresses = daemons.map(daemon => daemon.address);
		await Promise.all(addresses.map(async address => waitUntilReady(address)));
		await this.sendRound('all up', addresses, 30);
		await daemons[0]!.end('SIGKILL');
		await this.sendRound('one daemon killed', addresses, 30);
		await north.engines[0]!.end('SIGKILL');
		await this.sendRound('one engine killed', addresses.slice(1), 30);
		await this.sendServiceCalls(addresses.slice(1), 10);
		await daemons[1]!.end('SIGTERM');
		await this.sendRound('one daemon stopped', addresses.slice(2), 10);
	}

	private async start(name: 'standin' | 'laburnumturnd', programArguments: readonly string[]): Promise<StartedProcess> {
		const started = await startProcess(name, programArguments, line => {
			this.log.push(line);
		});
		this.started.push(started);
		return started;
	}

	private async startFleet(weightsVersion: string, serviceName: string) {
		const engineArguments = ['engine', '--model', `base@${weightsVersion}`];
		const [firstEngine, secondEngine, service] = await Promise.all([
			this.start('standin', [...engineArguments, '--checks-fencing']),
			this.start('standin', engineArguments),
			this.start('standin', ['service', '--name', serviceName]),
		]);
		return {engines: [firstEngine, secondEngine], service};
	}

	private async startDaemons(objectApi: string, instanceList: string): Promise<StartedProcess[]> {
		const ports = await reservePorts(3 * daemonCount);
		const seeds = Array.from({length: daemonCount}, (_, index) => `127.0.0.1:${ports[(3 * index) + 1]}`);
		return Promise.all(Array.from({length: daemonCount}, async (_, index) => {
			const [caller, peer, admin] = ports.slice(3 * index, (3 * index) + 3).map(port => `127.0.0.1:${port}`);
			const settings = {
				instance: `entry-${index}`, fleet: index < 2 ? 'north' : 'south', dataCentre: index < 2 ? `north-${index}` : 'south-0',
				listen: {caller, peer, admin}, platform: {objectApi: `http://${objectApi}`, instanceList: `http://${instanceList}`},
				seeds, addressValidityMs: 1000, stop: {marginMs: 500},
			};
			const file = join(this.directory, `entry-${index}.jsonc`);
			await writeFile(file, `// Settings of instance ${index}.\n${JSON.stringify(settings, undefined, '\t')}\n`);
			return this.start('laburnumturnd', ['--settings', file]);
		}));
	}

	private async sendRound(step: string, addresses: readonly string[], count: number): Promise<void> {
		const secrets = Object.values(demoSecrets);
		const result: StepResult = {
			step, sent: count, complete: 0, retryCount: 0,
		};
		await Promise.all(Array.from({length: count}, async (_, index) => {
			const prompt = `${'Catalogue of the north. '.repeat(1000)}Question ${index} of step ${step}?`;
			await this.sendUntilComplete(result, addresses, index, {secret: secrets[index % secrets.length]!, prompt, isStreamed: index % 2 === 0});
		}));
		this.results.push(result);
	}

	/** Sends a completion, which is safe to repeat, and retries it at the next address after each failure. */
	private async sendUntilComplete(result: StepResult, addresses: readonly string[], startIndex: number, call: CompletionCall): Promise<void> {
		for (let attempt = 0; attempt < maximumAttempts; attempt += 1) {
			const address = addresses[(startIndex + attempt) % addresses.length]!;
			try {
				const text = await sendCompletion(address, call);
				if (text !== generateTokens(call.prompt, generatedTokens).join('')) {
					throw new VError('the answer from %s does not match its prompt', address);
				}

				result.complete += 1;
				return;
			} catch (error) {
				this.log.push(String(error));
				result.retryCount += 1;
				await new Promise(resolve => {
					setTimeout(resolve, retryDelayMs);
				});
			}
		}
	}

	private async sendServiceCalls(addresses: readonly string[], count: number): Promise<void> {
		const result: StepResult = {
			step: 'service calls', sent: count, complete: 0, retryCount: 0,
		};
		await Promise.all(Array.from({length: count}, async (_, index) => {
			const answer = await request(`http://${addresses[index % addresses.length]}/orders-north/book`, {
				method: 'POST', body: '{}', headers: {authorization: `Bearer ${demoSecrets.north}`, 'x-call-id': `call-${index}`},
			});
			const body = await answer.body.json() as {callId: string};
			result.complete += body.callId === `call-${index}` ? 1 : 0;
		}));
		this.results.push(result);
	}
}

type CompletionCall = {readonly secret: string; readonly prompt: string; readonly isStreamed: boolean};

async function sendCompletion(address: string, call: CompletionCall): Promise<string> {
	const answer = await request(`http://${address}/v1/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${call.secret}`, 'content-type': 'application/json'},
		body: JSON.stringify({
			model: 'assistant', prompt: call.prompt, stream: call.isStreamed, max_tokens: generatedTokens,
		}),
	});
	const text = await answer.body.text();
	if (answer.statusCode !== 200) {
		throw new VError('completion failed with status %d: %s', answer.statusCode, text);
	}

	return call.isStreamed ? joinStreamText(text) : (JSON.parse(text) as {choices: Array<{text: string}>}).choices[0]!.text;
}

function joinStreamText(text: string): string {
	const events = text.split('\n\n').filter(event => event !== '').map(event => event.replace(/^data: /u, ''));
	if (events.pop() !== '[DONE]') {
		throw new VError('the stream ended without [DONE]');
	}

	return events.map(event => (JSON.parse(event) as {choices: Array<{text: string}>}).choices[0]!.text).join('');
}

async function writeResources(objectApi: string, targets: Parameters<typeof createDemoResources>[0]): Promise<void> {
	const api = new HttpObjectApi({origin: `http://${objectApi}`});
	for (const resource of createDemoResources(targets)) {
		await api.create(collectionByKind[resource.kind], formatObjectName(resource), resource);
	}

	await api.close();
}

/** Waits until the daemon serves a model of each fleet. */
async function waitUntilReady(address: string): Promise<void> {
	const deadline = Date.now() + readyTimeoutMs;
	for (;;) {
		try {
			await sendCompletion(address, {secret: demoSecrets.north, prompt: 'ready?', isStreamed: false});
			await sendCompletion(address, {secret: demoSecrets.south, prompt: 'ready?', isStreamed: false});
			return;
		} catch (error) {
			if (Date.now() > deadline) {
				throw error;
			}

			await new Promise(resolve => {
				setTimeout(resolve, retryDelayMs);
			});
		}
	}
}

function formatTable(results: readonly StepResult[]): string {
	const lines = results.map(result => `${result.step.padEnd(22)}${String(result.sent).padStart(6)}${String(result.complete).padStart(10)}${String(result.retryCount).padStart(10)}`);
	return [`${'step'.padEnd(22)}${'sent'.padStart(6)}${'complete'.padStart(10)}${'retried'.padStart(10)}`, ...lines].join('\n');
}

const demo = new Demo();
try {
	const isComplete = await demo.run();
	process.stdout.write(`${formatTable(demo.results)}\n`);
	process.exitCode = isComplete ? 0 : 1;
} catch (error) {
	process.stdout.write(`${demo.log.slice(-40).join('\n')}\n${String((error as Error).stack)}\n`);
	process.exitCode = 1;
}
