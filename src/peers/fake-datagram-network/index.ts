/** Datagrams between instances in one process, without loss, for tests and simulations. */

import type {DatagramHandler, DatagramSender} from '../datagram-channel/index.js';

/** What has been sent so far. */
export type DatagramCounts = {
	/** Messages, each to one or several addresses. */
	messages: number;
	datagrams: number;
	/** Length of the longest body as JSON. */
	largestBytes: number;
};

/** Network of endpoints by their addresses. */
export class FakeDatagramNetwork {
	readonly sent: DatagramCounts = {messages: 0, datagrams: 0, largestBytes: 0};
	private readonly handlers = new Map<string, Map<string, DatagramHandler>>();

	/** Creates the endpoint of the instance at `address`. */
	open(address: string): DatagramSender {
		const own = new Map<string, DatagramHandler>();
		this.handlers.set(address, own);
		return {
			register(type, handler) {
				own.set(type, handler);
			},
			send: (addresses, type, body) => {
				this.count(addresses.length, body);
				for (const receiver of addresses) {
					this.handlers.get(receiver)?.get(type)?.(body);
				}
			},
		};
	}

	private count(datagrams: number, body: unknown): void {
		this.sent.messages += 1;
		this.sent.datagrams += datagrams;
		this.sent.largestBytes = Math.max(this.sent.largestBytes, JSON.stringify(body).length);
	}
}
