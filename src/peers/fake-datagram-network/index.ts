/** In-process datagram network, for tests and simulations. It loses only the datagrams that the test chooses. */

import type {DatagramHandler, DatagramTransport} from '../datagram-channel/index.js';

/** Totals of the messages sent so far. */
export type DatagramCounts = {
	/** Sent messages; a message to several addresses counts once. */
	messages: number;
	/** Sent datagrams, one for each address of a message. */
	datagrams: number;
	/** Size of the largest body as JSON. */
	largestBytes: number;
};

/** Network that delivers each datagram synchronously. */
export class FakeDatagramNetwork {
	readonly sent: DatagramCounts = {messages: 0, datagrams: 0, largestBytes: 0};
	private readonly handlers = new Map<string, Map<string, DatagramHandler>>();

	constructor(private readonly isLost: () => boolean = () => false) {}

	/** Creates the endpoint of the instance at `address`. */
	open(address: string): DatagramTransport {
		const ownHandlers = new Map<string, DatagramHandler>();
		this.handlers.set(address, ownHandlers);
		return {
			register(type, handler) {
				ownHandlers.set(type, handler);
			},
			send: (addresses, type, body) => {
				this.recordMessage(addresses.length, body);
				for (const receiver of addresses) {
					if (!this.isLost()) {
						this.handlers.get(receiver)?.get(type)?.(body);
					}
				}
			},
		};
	}

	private recordMessage(datagrams: number, body: unknown): void {
		this.sent.messages += 1;
		this.sent.datagrams += datagrams;
		this.sent.largestBytes = Math.max(this.sent.largestBytes, JSON.stringify(body).length);
	}
}
