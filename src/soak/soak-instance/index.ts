/** A gateway process of a soak, which is started again whenever it ends, as the platform does. */

import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, type WriteStream} from 'node:fs';
import {writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {FaultyProxy, type ProxyMode} from '../../standin/faulty-proxy/index.js';

const program = 'target/gateway.cjs';
const restartMs = 300;
/** Time between SIGTERM and SIGKILL, in milliseconds. */
export const graceMs = 8000;
const ports = {
	caller: 8606, readiness: 8605, directory: 8603, peer: 7600, admin: 7601,
} as const;

/** What an instance needs. */
export type SoakInstanceOptions = {
	readonly name: string;
	/** Address of its own on the loopback network. */
	readonly host: string;
	readonly zone: string;
	readonly seeds: readonly string[];
	/** `host:port`. */
	readonly storeAddress: string;
	/** Directory of settings and logs. */
	readonly directory: string;
	/** Called when the process ends although nothing ended it. */
	readonly onCrash: (detail: string) => void;
};

/** One instance. */
export class SoakInstance {
	/** Until when faults or restarts excuse what it does, in Unix milliseconds. */
	disturbedUntil = 0;
	private process: ChildProcess | undefined;
	private isEnding = false;
	private isClosed = false;
	private log: WriteStream | undefined;
	private readonly storePath: FaultyProxy;

	constructor(readonly options: SoakInstanceOptions) {
		this.storePath = new FaultyProxy(options.storeAddress);
	}

	get callerAddress(): string {
		return `${this.options.host}:${ports.caller}`;
	}

	get directoryAddress(): string {
		return `${this.options.host}:${ports.directory}`;
	}

	async start(): Promise<void> {
		const {name, host, zone, seeds, directory} = this.options;
		const objectApi = await this.storePath.listen();
		await writeFile(this.settingsFile, JSON.stringify({
			instance: name, dataCentre: zone, region: 'east', objectApi,
			seeds: seeds.map(seed => `${seed}:1`), retryBudget: {ratio: 0.2, extra: 50}, quotaTolerance: {ratio: 0.1, extraTokens: 110_000},
			weightsLimitMs: 10_000, graceMs,
			listen: Object.fromEntries(Object.entries(ports).map(([use, port]) => [use, `${host}:${port}`])),
		}));
		this.log = createWriteStream(join(directory, `${name}.log`));
		this.launch();
	}

	/** Lets the store's answers or all bytes to it fail. */
	setStorePath(mode: ProxyMode): void {
		this.storePath.setMode(mode);
	}

	async pause(ms: number): Promise<void> {
		this.process?.kill('SIGSTOP');
		await delay(ms);
		this.process?.kill('SIGCONT');
	}

	kill(): void {
		this.isEnding = true;
		this.process?.kill('SIGKILL');
	}

	/** Stops the process in the planned way; kills it when its grace period has passed. */
	async terminate(): Promise<void> {
		const {process} = this;
		if (process === undefined || this.isEnding) {
			return;
		}

		this.isEnding = true;
		const ended = new Promise(resolve => {
			process.once('exit', resolve);
		});
		process.kill('SIGTERM');
		await Promise.race([ended, delay(graceMs, undefined, {ref: false})]);
		process.kill('SIGKILL');
	}

	hangUp(): void {
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

		this.storePath.close();
	}

	private get settingsFile(): string {
		return join(this.options.directory, `${this.options.name}.json`);
	}

	private launch(): void {
		this.isEnding = false;
		const child = spawn(process.execPath, ['--max-old-space-size=90', program], {
			env: {PATH: process.env.PATH, LABURNUMTURN_SETTINGS: this.settingsFile}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		child.stdout.pipe(this.log!, {end: false});
		child.stderr.pipe(this.log!, {end: false});
		child.once('exit', (code, signal) => {
			if (!this.isEnding && !this.isClosed) {
				this.options.onCrash(`${this.options.name} ended by itself: code ${code}, signal ${signal}`);
			}

			if (!this.isClosed) {
				void this.launchLater();
			}
		});
		this.process = child;
	}

	private async launchLater(): Promise<void> {
		await delay(restartMs);
		if (!this.isClosed) {
			this.launch();
		}
	}
}
