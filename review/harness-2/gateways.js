/** Starts the gateway as the deploy file says, one process a machine, with settings made from the template. */

import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {renderTemplate} from './template.js';

const root = fileURLToPath(new URL('../..', import.meta.url));
/** Time after the end of a process until it is started again, in milliseconds. */
const restartMs = 300;
const readyTimeoutMs = 20_000;
const couldNotRunCode = 2;

const children = new Set();
process.on('exit', () => {
	for (const child of children) {
		child.kill('SIGKILL');
	}
});
// What no case expects shows that it could not run, and says nothing of the rule.
for (const event of ['uncaughtException', 'unhandledRejection']) {
	process.on(event, error => {
		process.stderr.write(`could not run: ${error.stack}\n`);
		process.exit(couldNotRunCode);
	});
}

for (const signal of ['SIGTERM', 'SIGINT']) {
	process.once(signal, () => {
		process.exit(couldNotRunCode);
	});
}

/** Reads the command of the gateway and the name of its template from the deploy file. */
function readDeployFile() {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const readField = name => new RegExp(String.raw`^${name} = "(.*)"$`, 'mu').exec(text)[1];
	return {words: readField('run').split(' '), template: readFileSync(path.join(root, readField('template')), 'utf8')};
}

/** Fields of the platform's settings, with the figures of `sites/gnomeworks-ala.toml`. */
function buildFields({name, host, zone, seeds, storeAddress}) {
	return {
		node: name, role: 'gateway', ip: host, zone, region: 'almaty', seeds, 'internal-ports': [7600, 7615],
		listen: {
			front: `${host}:8606`, readiness: `${host}:8605`, control: `${host}:8608`, directory: `${host}:8603`,
		},
		platform: {address: storeAddress},
		bounds: {
			'retry-budget-ratio': 0.2, 'budget-window-s': 10, 'retry-budget-extra': 56, 'quota-overage': 0.1, 'quota-slack': 110_000,
			'version-ms': 10_000, 'grace-s': 8,
		},
		limits: {
			'cpu-share': 0.675, cores: 1, 'memory-mb': 200, 'max-fds': 4100, 'link-mbps': 1000,
		},
	};
}

/** One machine with one gateway process, which is started again when it has ended. */
class Machine {
	constructor(fields, {words, template, directory}) {
		this.name = fields.node;
		this.host = fields.ip;
		this.words = words;
		this.settingsFile = path.join(directory, `${this.name}.jsonc`);
		this.log = createWriteStream(path.join(directory, `${this.name}.log`));
		writeFileSync(this.settingsFile, renderTemplate(template, fields));
		this.launch();
	}

	/** Sends a signal to the process that runs now. */
	signal(signal) {
		this.child.kill(signal);
	}

	async isReady() {
		return new Promise(resolve => {
			const asked = request({
				host: this.host, port: 8605, path: '/-/readyz', agent: false,
			}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			});
			asked.once('error', () => {
				resolve(false);
			});
			asked.end();
		});
	}

	async close() {
		this.isClosed = true;
		const {child} = this;
		if (child.exitCode === null && child.signalCode === null) {
			const ended = once(child, 'exit');
			child.kill('SIGCONT');
			child.kill('SIGKILL');
			await ended;
		}
	}

	launch() {
		const [program, ...words] = this.words;
		const child = spawn(program === 'node' ? process.execPath : program, words, {
			cwd: root, stdio: ['ignore', 'pipe', 'pipe'],
			env: {PATH: process.env.PATH, HOME: process.env.HOME, LABURNUMTURN_SETTINGS: this.settingsFile},
		});
		children.add(child);
		child.stdout.pipe(this.log, {end: false});
		child.stderr.pipe(this.log, {end: false});
		child.once('exit', () => {
			children.delete(child);
			if (!this.isClosed) {
				setTimeout(() => {
					if (!this.isClosed) {
						this.launch();
					}
				}, restartMs);
			}
		});
		this.child = child;
	}
}

/** Starts `count` machines in three zones, and waits until all are ready. `findStore` returns the address at which a machine finds the store. */
export async function startMachines(count, {network, storeAddress, findStore = () => storeAddress}) {
	const directory = mkdtempSync(path.join(tmpdir(), 'review-'));
	const deployed = {...readDeployFile(), directory};
	const hosts = Array.from({length: count}, (_, index) => `${network}.${index + 1}`);
	const machines = hosts.map((host, index) => new Machine(buildFields({
		name: `edge-${index + 1}`, host, zone: `almaty-${'abc'[index % 3]}`, seeds: hosts.slice(0, 3).map(seed => `${seed}:8608`), storeAddress: findStore(index),
	}), deployed));
	const end = Date.now() + readyTimeoutMs;
	for (const machine of machines) {
		while (!await machine.isReady()) {
			if (Date.now() > end) {
				throw new Error(`${machine.name} is not ready`);
			}

			await new Promise(resolve => {
				setTimeout(resolve, 50);
			});
		}
	}

	return {
		machines,
		directory,
		async close() {
			await Promise.all(machines.map(async machine => machine.close()));
			if (process.env.KEEP_LOGS === undefined) {
				rmSync(directory, {recursive: true, force: true});
			} else {
				process.stdout.write(`logs in ${directory}\n`);
			}
		},
	};
}

/** Picks a loopback network that is probably free. */
export function pickNetwork() {
	return `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
}
