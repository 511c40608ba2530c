/**
 * Calls methods of other instances, by instance id or by address.
 *
 * When connections go silent, those to all instances may have. A peer that answered before and now lets a call time out
 * therefore has the idle connections to the others replaced, too, except to those that have answered meanwhile.
 */

import {LRUCache} from 'lru-cache';
import VError from 'verror';
import type {InstanceId} from '../../identity/ids/index.js';
import type {PeerCaller, PeerCallTimeout} from '../peer-caller/index.js';
import {PeerLink, type PeerCallOptions, type PeerTrafficListener} from '../peer-link/index.js';

/** Limit of open links; above it, the least recently used one is closed. */
const maximumOpenLinks = 512;
/** Shortest timeout, in milliseconds, whose end shows a silence; a call with a shorter one may only have been too slow. */
const minimumSilenceMs = 300;

/** Options of `PeerClient`. */
export type PeerClientOptions = {
	readonly self: InstanceId;
	/** Returns the peer address of an instance, or undefined if it is unknown. */
	readonly findPeerAddress: (peer: InstanceId) => string | undefined;
	readonly onTraffic?: PeerTrafficListener;
};

/** Calls an address whose instance id is not known yet. */
export type AddressCaller = {
	callAddress<Result>(address: string, method: string, parameters: unknown, timeoutMs: number): Promise<Result>;
};

/** Client over `undici`, with one `PeerLink` per address. */
export class PeerClient implements PeerCaller, AddressCaller {
	private readonly links = new LRUCache<string, PeerLink>({
		max: maximumOpenLinks,
		dispose(link) {
			void link.close();
		},
	});

	/** Number of answers of all peers so far. */
	private answerCount = 0;
	/** Number of the last answer of each link that has answered since its last timeout. */
	private readonly lastAnswers = new WeakMap<PeerLink, number>();

	constructor(private readonly options: PeerClientOptions) {}

	async call<Result>(peer: InstanceId, method: string, parameters: unknown, timeout: number | PeerCallTimeout): Promise<Result> {
		const address = this.options.findPeerAddress(peer);
		if (address === undefined) {
			throw new VError({name: 'PeerCallError'}, 'the address of instance %s is unknown', peer);
		}

		return this.callLink(address, method, parameters, {from: this.options.self, to: peer, ...(typeof timeout === 'number' ? {timeoutMs: timeout} : timeout)});
	}

	async callAddress<Result>(address: string, method: string, parameters: unknown, timeoutMs: number): Promise<Result> {
		return this.callLink(address, method, parameters, {from: this.options.self, timeoutMs});
	}

	/** Destroys all connections. */
	async close(): Promise<void> {
		const links = [...this.links.values()];
		await Promise.all(links.map(async link => link.close()));
	}

	private async callLink<Result>(address: string, method: string, parameters: unknown, options: PeerCallOptions): Promise<Result> {
		const link = this.getOrCreateLink(address);
		const answersBefore = this.answerCount;
		try {
			const result = await link.call<Result>(method, parameters, options);
			this.answerCount += 1;
			this.lastAnswers.set(link, this.answerCount);
			return result;
		} catch (error) {
			const {outcome} = VError.info(error as Error);
			if (outcome === 'deadline' && options.timeoutMs >= minimumSilenceMs && this.lastAnswers.delete(link)) {
				this.replaceUnprovenConnections(answersBefore);
			}

			throw error;
		}
	}

	/** Replaces the connections of all links that have not answered since there were `answersBefore` answers. */
	private replaceUnprovenConnections(answersBefore: number): void {
		for (const link of this.links.values()) {
			if ((this.lastAnswers.get(link) ?? Infinity) <= answersBefore) {
				link.replaceConnections();
			}
		}
	}

	private getOrCreateLink(address: string): PeerLink {
		let link = this.links.get(address);
		if (link === undefined) {
			link = new PeerLink(address, this.options.onTraffic);
			this.links.set(address, link);
		}

		return link;
	}
}
