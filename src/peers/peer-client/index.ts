/** Calls methods of other daemons, by instance id or by address. */

import {LRUCache} from 'lru-cache';
import VError from 'verror';
import type {InstanceId} from '../../identity/ids/index.js';
import type {PeerCaller} from '../peer-caller/index.js';
import {PeerLink, type PeerTrafficListener} from '../peer-link/index.js';

/** Links kept open; the least recently used one is closed when there are more. */
const maximumLinks = 512;

/** What the client needs. */
export type PeerClientOptions = {
	readonly self: InstanceId;
	/** Finds the peer address of an instance. */
	readonly locate: (peer: InstanceId) => string | undefined;
	readonly onTraffic?: PeerTrafficListener;
};

/** Calls an address whose instance id is not known yet. */
export type AddressCaller = {
	callAddress<Result>(address: string, method: string, parameters: unknown, timeoutMs: number): Promise<Result>;
};

/** Client over `undici`, with one `PeerLink` per address. */
export class PeerClient implements PeerCaller, AddressCaller {
	private readonly links = new LRUCache<string, PeerLink>({
		max: maximumLinks,
		dispose(link) {
			void link.close();
		},
	});

	constructor(private readonly options: PeerClientOptions) {}

	async call<Result>(peer: InstanceId, method: string, parameters: unknown, timeoutMs: number): Promise<Result> {
		const address = this.options.locate(peer);
		if (address === undefined) {
			throw new VError({name: 'PeerCallError'}, 'no address of instance %s is known', peer);
		}

		return this.open(address).call(method, parameters, {from: this.options.self, to: peer, timeoutMs});
	}

	async callAddress<Result>(address: string, method: string, parameters: unknown, timeoutMs: number): Promise<Result> {
		return this.open(address).call(method, parameters, {from: this.options.self, timeoutMs});
	}

	/** Destroys all connections. */
	async close(): Promise<void> {
		const links = [...this.links.values()];
		await Promise.all(links.map(async link => link.close()));
	}

	private open(address: string): PeerLink {
		let link = this.links.get(address);
		if (link === undefined) {
			link = new PeerLink(address, this.options.onTraffic);
			this.links.set(address, link);
		}

		return link;
	}
}
