/** A gateway process of a soak test, which is restarted whenever it exits, as on the platform. */

import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, type WriteStream} from 'node:fs';
import {writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {FaultyProxy, type ProxyMode} from '../../standin/faulty-proxy/index.js';

const gatewayProgram = 'target/gateway.cjs';
/** Flags of the deployed process; the program's code cache is valid only with these. */
const nodeFlags = ['--max-old-space-size=90', '--max-semi-space-size=2', '--optimize-for-size'];
const restartDelayMs = 300;
/** Maximum time between SIGTERM and SIGKILL, in milliseconds. */
export const terminationGraceMs = 8000;
const ports = {
	caller: 8606, readiness: 8605, directory: 8603, peer: 7600, admin: 7601,
} as const;

/** Processes that run now. */
const runningProcesses = new Set<ChildProcess>();

// A process that outlived a failed test could find the store of a later one at its store's address, and join its fleet.
process.on('exit', () => {
	for (const child of runningProcesses) {
		child.kill('SIGKILL');
	}
});
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
	process.once(signal, () => {
		process.exit(1);
	});
}

/** Options of an instance. */
export type SoakInstanceOptions = {
	readonly name: string;
	/** Loopback address that no other instance uses. */
	readonly host: string;
	readonly zone: string;
	readonly seedHosts: readonly string[];
	/** `host:port`. */
	readonly storeAddress: string;
	/** Directory of the settings file and the log. */
	readonly directory: string;
	/** Settings beside the usual ones. */
	readonly settings?: Readonly<Record<string, unknown>>;
	/** Called when the process exits although the test did not stop it. */
	readonly onCrash: (detail: string) => void;
};

/** Starts, pauses and stops one gateway process. */
export class SoakInstance {
	/** End of the period in which faults or restarts may explain errors of the instance, in Unix milliseconds. */
	faultUntil = 0;
	private process: ChildProcess | undefined;
	private isExitExpected = false;
	private isClosed = false;
	private log: WriteStream | undefined;
	private readonly storeProxy: FaultyProxy;

	constructor(readonly options: SoakInstanceOptions) {
		this.storeProxy = new FaultyProxy(options.storeAddress);
	}

	get callerAddress(): string {
		return `${this.options.host}:${ports.caller}`;
	}

	get directoryAddress(): string {
		return `${this.options.host}:${ports.directory}`;
	}

	/** Id of the process that runs now; undefined while it is restarted. */
	get processId(): number | undefined {
		return this.process?.exitCode === null ? this.process.pid : undefined;
	}

	async start(): Promise<void> {
		const {name, host, zone, seedHosts, directory, settings} = this.options;
		const objectApi = await this.storeProxy.listen();
		await writeFile(this.settingsFile, JSON.stringify({
			instance: name, dataCentre: zone, region: 'east', objectApi,
			seeds: seedHosts.map(seed => `${seed}:1`), retryBudget: {ratio: 0.2, extra: 50}, quotaTolerance: {ratio: 0.1, extraTokens: 110_000},
			weightsLimitMs: 10_000, graceMs: terminationGraceMs,
			listen: Object.fromEntries(Object.entries(ports).map(([use, port]) => [use, `${host}:${port}`])),
			...settings,
		}));
		this.log = createWriteStream(join(directory, `${name}.log`));
		this.launch();
	}

	/** Sets how the proxy between the instance and the store treats traffic. */
	setStoreProxyMode(mode: ProxyMode): void {
		this.storeProxy.setMode(mode);
	}

	async pause(ms: number): Promise<void> {
		this.process?.kill('SIGSTOP');
		await delay(ms);
		this.process?.kill('SIGCONT');
	}

	kill(): void {
		this.isExitExpected = true;
		this.process?.kill('SIGKILL');
	}

	/** Stops the process with SIGTERM, and kills it when the grace period has passed. */
	async terminate(): Promise<void> {
		const {process} = this;
		if (process === undefined || this.isExitExpected) {
			return;
		}

		this.isExitExpected = true;
		const ended = new Promise(resolve => {
			process.once('exit', resolve);
		});
		process.kill('SIGTERM');
		await Promise.race([ended, delay(terminationGraceMs, undefined, {ref: false})]);
		process.kill('SIGKILL');
	}

	sendHangup(): void {
		this.process?.kill('SIGHUP');
	}

	async close(): Promise<void> {
		this.isClosed = true;
		const {process} = this;
		if (process?.exitCode === null && process.signalCode === null) {
			const ended = new Promise(resolve => {
				process.once('exit', resolve);
			});
			process.kill('SIGCONT');
			process.kill('SIGKILL');
			await ended;
		}

		this.storeProxy.close();
	}

	private get settingsFile(): string {
		return join(this.options.directory, `${this.options.name}.json`);
	}

	private launch(): void {
		this.isExitExpected = false;
		const child = spawn(process.execPath, [...nodeFlags, gatewayProgram], {
			env: {PATH: process.env.PATH, LABURNUMTURN_SETTINGS: this.settingsFile}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		child.stdout.pipe(this.log!, {end: false});
		child.stderr.pipe(this.log!, {end: false});
		runningProcesses.add(child);
		child.once('exit', (code, signal) => {
			runningProcesses.delete(child);
			if (!this.isExitExpected && !this.isClosed) {
				this.options.onCrash(`${this.options.name} exited unexpectedly: code ${code}, signal ${signal}`);
			}

			if (!this.isClosed) {
				void this.relaunch();
			}
		});
		this.process = child;
	}

	private async relaunch(): Promise<void> {
		await delay(restartDelayMs);
		if (!this.isClosed) {
			this.launch();
		}
	}
}
