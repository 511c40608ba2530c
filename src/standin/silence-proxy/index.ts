/** A TCP relay whose open connections can go silent for good while new ones work. */

import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {parseAddress} from '../../http/parse-address/index.js';

/** Relay to one address. */
export class SilenceProxy {
	private readonly server: Server;
	private readonly pairs = new Set<readonly [Socket, Socket]>();

	constructor(private readonly upstream: string) {
		this.server = createServer(socket => {
			this.relay(socket);
		});
	}

	/** Number of connections relayed now, the silent ones included. */
	get connectionCount(): number {
		return this.pairs.size;
	}

	/** Starts listening; returns `host:port`. */
	async listen(): Promise<string> {
		this.server.listen(0, '127.0.0.1');
		await once(this.server, 'listening');
		return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	/** Stops relaying on every connection that is open now, without closing it. */
	silence(): void {
		for (const [caller, callee] of this.pairs) {
			caller.unpipe(callee);
			callee.unpipe(caller);
			caller.resume();
			callee.resume();
		}
	}

	/** Destroys all connections and stops listening. */
	close(): void {
		this.server.close();
		for (const [caller, callee] of this.pairs) {
			caller.destroy();
			callee.destroy();
		}
	}

	private relay(caller: Socket): void {
		const {host, port} = parseAddress(this.upstream);
		const callee = connect(port, host);
		const pair = [caller, callee] as const;
		this.pairs.add(pair);
		const end = () => {
			caller.destroy();
			callee.destroy();
			this.pairs.delete(pair);
		};

		caller.on('error', end).on('close', end);
		callee.on('error', end).on('close', end);
		caller.pipe(callee);
		callee.pipe(caller);
	}
}
