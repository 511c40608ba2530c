#!/usr/bin/env node
/** Runs a stand-in for an external system as a process, for the demo, the benchmark and tests. */

import {once} from 'node:events';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import {
	boolean, command, flag, multioption, number, option, optional, run, string, subcommands, array,
} from 'cmd-ts';
import {parseAddress} from '../http/parse-address/index.js';
import {MemoryObjectApi} from '../store/memory-object-api/index.js';
import {EngineServer} from '../standin/engine-server/index.js';
import {createInstanceListServer} from '../standin/instance-list-server/index.js';
import {createObjectApiServer} from '../standin/object-api-server/index.js';
import {ServiceServer} from '../standin/service-server/index.js';
import {WeightStoreServer} from '../standin/weight-store-server/index.js';

const listen = option({
	type: string, long: 'listen', defaultValue: () => '127.0.0.1:0', description: 'host:port',
});

const objectApiCommand = command({
	name: 'object-api',
	args: {
		listen,
		writes: option({type: number, long: 'writes-per-second', defaultValue: () => 400}),
		reads: option({type: number, long: 'reads-per-second', defaultValue: () => 2000}),
	},
	async handler(args) {
		await listenAndPrintAddress(createObjectApiServer(new MemoryObjectApi(), {writesPerSecond: args.writes, readsPerSecond: args.reads}), args.listen);
	},
});

const instanceListCommand = command({
	name: 'instance-list',
	args: {listen, lagMs: option({type: number, long: 'lag-ms', defaultValue: () => 2000})},
	async handler(args) {
		await listenAndPrintAddress(createInstanceListServer(args.lagMs), args.listen);
	},
});

const engineCommand = command({
	name: 'engine',
	args: {
		listen,
		models: multioption({type: array(string), long: 'model', description: 'base@version or base+adapter@version'}),
		slots: option({type: number, long: 'slots', defaultValue: () => 16}),
		prefill: option({type: number, long: 'prefill-tokens-per-ms', defaultValue: () => 20}),
		decode: option({type: number, long: 'decode-ms-per-token', defaultValue: () => 5}),
		cacheBlocks: option({type: number, long: 'cache-blocks', defaultValue: () => 256}),
		checksFencing: flag({type: boolean, long: 'checks-fencing'}),
		loadLagMs: option({type: number, long: 'load-lag-ms', defaultValue: () => 250}),
		eventLagMs: option({type: number, long: 'event-lag-ms', defaultValue: () => 100}),
		loadMs: option({type: number, long: 'load-ms', defaultValue: () => 800}),
		weightStore: option({type: optional(string), long: 'weight-store', description: 'base address of the weight store'}),
		eventLoss: option({
			type: number, long: 'event-loss', defaultValue: () => 0, description: 'fraction of cache events that are lost',
		}),
	},
	async handler(args) {
		const engine = new EngineServer({
			speed: {slots: args.slots, prefillTokensPerMs: args.prefill, decodeMsPerToken: args.decode},
			cacheBlocks: args.cacheBlocks,
			models: args.models.map(parseModel),
			checksFencing: args.checksFencing,
			loadLagMs: args.loadLagMs,
			eventLagMs: args.eventLagMs,
			loadMs: args.loadMs,
			weightStore: args.weightStore,
			eventLoss: args.eventLoss,
		});
		await listenAndPrintAddress(engine.server, args.listen);
	},
});

const weightStoreCommand = command({
	name: 'weight-store',
	args: {
		listen,
		loadMs: option({type: number, long: 'load-ms', defaultValue: () => 800}),
		loadsPerSecond: option({type: number, long: 'loads-per-second', defaultValue: () => 20}),
	},
	async handler(args) {
		await listenAndPrintAddress(new WeightStoreServer(args).server, args.listen);
	},
});

const serviceCommand = command({
	name: 'service',
	args: {listen, name: option({type: string, long: 'name', defaultValue: () => 'service'})},
	async handler(args) {
		await listenAndPrintAddress(new ServiceServer(args.name).server, args.listen);
	},
});

function parseModel(text: string) {
	const match = /^([^+@]+)(?:\+([^@]+))?@(.+)$/u.exec(text);
	if (match === null) {
		throw new Error(`"${text}" is not of the form base@version or base+adapter@version`);
	}

	return {
		base: match[1]!, adapter: match[2], weightsVersion: match[3]!, state: 'ready' as const,
	};
}

/** Starts listening and prints the address as one line of JSON. */
async function listenAndPrintAddress(server: Server, address: string): Promise<void> {
	const {host, port} = parseAddress(address);
	server.listen(port, host);
	await once(server, 'listening');
	process.stdout.write(`${JSON.stringify({listening: `${host}:${(server.address() as AddressInfo).port}`})}\n`);
}

const application = subcommands({
	name: 'standin',
	cmds: {
		'object-api': objectApiCommand, 'instance-list': instanceListCommand, engine: engineCommand, service: serviceCommand,
		'weight-store': weightStoreCommand,
	},
});

await run(application, process.argv.slice(2));
