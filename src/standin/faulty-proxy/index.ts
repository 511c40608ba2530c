/** A TCP relay whose connections can be delayed, reset, silenced or cut one way. */

import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {listenLocally} from '../../http/listen-locally/index.js';
import {parseAddress} from '../../http/parse-address/index.js';

/**
 * What happens to bytes. `deaf`: bytes to the server arrive, its answers do not. `silent`: no bytes pass, and
 * connections stay open. `reset`: connections are reset, open ones too.
 */
export type ProxyMode = 'pass' | 'delay' | 'deaf' | 'silent' | 'reset';

const delayMs = 150;

/** Relay to one address. */
export class FaultyProxy {
	private mode: ProxyMode = 'pass';
	private readonly sockets = new Set<Socket>();
	/** Sockets of connections that went silent for good. */
	private readonly silenced = new WeakSet<Socket>();
	private readonly server: Server;

	constructor(private readonly upstream: string) {
		this.server = createServer(socket => {
			this.accept(socket);
		});
	}

	/** Number of connections relayed now, the silent ones included. */
	get connectionCount(): number {
		return this.sockets.size / 2;
	}

	/** Starts listening; returns `host:port`. */
	async listen(): Promise<string> {
		return listenLocally(this.server);
	}

	/** Sets what happens to the bytes of all connections, new ones included. */
	setMode(mode: ProxyMode): void {
		this.mode = mode;
		if (mode === 'reset') {
			for (const socket of this.sockets) {
				resetSocket(socket);
			}
		}
	}

	/** Stops relaying on every connection that is open now, without closing it; new ones work. */
	silence(): void {
		for (const socket of this.sockets) {
			this.silenced.add(socket);
		}
	}

	/** Destroys all connections and stops listening. */
	close(): void {
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	private accept(client: Socket): void {
		if (this.mode === 'reset') {
			resetSocket(client);
			return;
		}

		const {host, port} = parseAddress(this.upstream);
		const server = connect(port, host);
		this.track(client, server);
		this.track(server, client);
		client.on('data', chunk => {
			void this.pass(chunk, server, this.mode === 'silent');
		});
		server.on('data', chunk => {
			void this.pass(chunk, client, this.mode === 'silent' || this.mode === 'deaf');
		});
	}

	private track(socket: Socket, other: Socket): void {
		this.sockets.add(socket);
		socket.setNoDelay(true);
		socket.on('end', () => {
			other.end();
		});
		socket.on('error', () => {
			resetSocket(other);
		});
		socket.on('close', () => {
			this.sockets.delete(socket);
			other.destroySoon();
		});
	}

	private async pass(chunk: Buffer, to: Socket, isDropped: boolean): Promise<void> {
		if (isDropped || this.silenced.has(to)) {
			return;
		}

		if (this.mode === 'delay') {
			await delay(delayMs);
		}

		if (to.writable) {
			to.write(chunk);
		}
	}
}

/** Resets a connection. One that is being closed would stay open as a handle and keep the process alive. */
function resetSocket(socket: Socket): void {
	if (!socket.destroyed) {
		socket.resetAndDestroy();
	}
}
