/** Calls methods of other instances, by instance id or by address. */

import {LRUCache} from 'lru-cache';
import VError from 'verror';
import type {InstanceId} from '../../identity/ids/index.js';
import type {PeerCaller, PeerCallTimeout} from '../peer-caller/index.js';
import {PeerLink, type PeerTrafficListener} from '../peer-link/index.js';

/** Limit of open links; above it, the least recently used one is closed. */
const maximumOpenLinks = 512;

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

	constructor(private readonly options: PeerClientOptions) {}

	async call<Result>(peer: InstanceId, method: string, parameters: unknown, timeout: number | PeerCallTimeout): Promise<Result> {
		const address = this.options.findPeerAddress(peer);
		if (address === undefined) {
			throw new VError({name: 'PeerCallError'}, 'the address of instance %s is unknown', peer);
		}

		return this.getOrCreateLink(address).call(method, parameters, {from: this.options.self, to: peer, ...(typeof timeout === 'number' ? {timeoutMs: timeout} : timeout)});
	}

	async callAddress<Result>(address: string, method: string, parameters: unknown, timeoutMs: number): Promise<Result> {
		return this.getOrCreateLink(address).call(method, parameters, {from: this.options.self, timeoutMs});
	}

	/** Destroys all connections. */
	async close(): Promise<void> {
		const links = [...this.links.values()];
		await Promise.all(links.map(async link => link.close()));
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
