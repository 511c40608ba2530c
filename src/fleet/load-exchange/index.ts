/**
 * Tells the other instances what work this one has sent to each target and which prompt prefixes it used
 * there, by datagrams.
 *
 * Load pattern: each instance sees only its part of the traffic, and bursts fill a target before any
 * single instance notices. A lost datagram is replaced by the next one, so nothing is repeated.
 */

import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';
import type {Clock} from '../../clock/clock/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import type {InstanceId, TargetId} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import type {PrefixDirectory, PrefixUse} from '../prefix-directory/index.js';
import type {TargetFleet} from '../target-fleet/index.js';

/** Interval of the datagrams while there is work to report, in milliseconds. */
const intervalMs = 100;
/** Instances told in one interval; with more instances each hears less often. */
const maximumReceivers = 8;
/** Entries in one datagram, so that it fits into one packet. */
const maximumEntries = 40;

/** What the exchange needs. */
export type LoadExchangeOptions = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly fleet: TargetFleet;
	readonly prefixes: PrefixDirectory;
	readonly logger: EventLogger;
	/** Live instances other than this one. */
	readonly listPeers: () => readonly Member[];
};

/** Target, calls in progress, prompt tokens not computed yet and tokens of memory taken. */
type LoadEntry = readonly [id: TargetId, calls: number, prefillTokens: number, memoryTokens: number];
type LoadMessage = {readonly from: InstanceId; readonly loads: readonly LoadEntry[]; readonly prefixes: readonly PrefixUse[]};

/** Sends own loads and takes over those of others. */
export class LoadExchange {
	private readonly socket: Socket;
	private wasIdle = true;

	constructor(private readonly options: LoadExchangeOptions) {
		this.socket = createSocket('udp4');
		this.socket.on('message', data => {
			this.receive(data);
		});
		this.socket.on('error', error => {
			options.logger.warn('load exchange failed', {reason: error.message});
		});
	}

	/** Listens at `address` and sends until `signal` aborts. */
	async start(address: string, signal: AbortSignal): Promise<void> {
		const {host, port} = parseAddress(address);
		this.socket.bind(port, host);
		await once(this.socket, 'listening');
		void this.run(signal);
	}

	private async run(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.options;
		while (!signal.aborted) {
			await clock.sleep(random.spreadPause(intervalMs), signal);
			this.send();
		}

		this.socket.close();
	}

	private send(): void {
		const {self, random, listPeers, prefixes} = this.options;
		const loads = this.listLoads();
		const uses = prefixes.takeUntold();
		// One empty report after the last work lets the others forget it at once.
		if (loads.length === 0 && uses.length === 0 && this.wasIdle) {
			return;
		}

		this.wasIdle = loads.length === 0;
		const message: LoadMessage = {from: self, loads, prefixes: uses};
		const data = Buffer.from(JSON.stringify(message));
		for (const peer of random.pickSome(listPeers(), maximumReceivers)) {
			const {host, port} = parseAddress(peer.peerAddress);
			this.socket.send(data, port, host);
		}
	}

	private listLoads(): LoadEntry[] {
		const loads: LoadEntry[] = [];
		for (const target of this.options.fleet.list()) {
			const {calls, prefillTokens, memoryTokens} = target.readOwnLoad();
			if (calls > 0 && loads.length < maximumEntries) {
				loads.push([target.description.id, calls, prefillTokens, memoryTokens]);
			}
		}

		return loads;
	}

	private receive(data: Buffer): void {
		const {clock, fleet, logger, prefixes} = this.options;
		try {
			const {from, loads, prefixes: uses} = JSON.parse(data.toString('utf8')) as LoadMessage;
			const now = clock.readMonotonic();
			const reported = new Map(loads.map(entry => [entry[0], entry]));
			for (const [prefix, target] of uses) {
				prefixes.noteUse(prefix, target, now);
			}

			for (const target of fleet.list()) {
				const [, calls = 0, prefillTokens = 0, memoryTokens = 0] = reported.get(target.description.id) ?? [];
				target.noteRemoteLoad(from, {calls, prefillTokens, memoryTokens}, now);
			}
		} catch (error) {
			logger.warn('load report ignored', {reason: (error as Error).message});
		}
	}
}
