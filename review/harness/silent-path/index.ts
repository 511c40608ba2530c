/**
 * Path to a host that can vanish for a moment. While it is away, nothing answers. Connections from before its return stay
 * silent for good, as those to a host that has lost its state and gets no packet on them; new ones work.
 */

import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';

/** Forwards connections to one address. */
export class SilentPath {
	private isAway = false;
	private readonly sockets = new Set<Socket>();
	private readonly frozen = new WeakSet<Socket>();
	private readonly server = createServer(client => {
		this.accept(client);
	});

	constructor(private readonly upstream: string) {}

	/** Listens at a free port of the loopback address; returns `host:port`. */
	async listen(): Promise<string> {
		this.server.listen(0, '127.0.0.1');
		await once(this.server, 'listening');
		return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	/** Lets the host vanish. */
	leave(): void {
		this.isAway = true;
		for (const socket of this.sockets) {
			this.frozen.add(socket);
		}
	}

	/** Lets the host return. */
	return(): void {
		this.isAway = false;
	}

	close(): void {
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	private accept(client: Socket): void {
		this.sockets.add(client);
		client.on('error', () => {
			// The close event follows.
		});
		client.on('close', () => {
			this.sockets.delete(client);
		});
		if (this.isAway) {
			this.frozen.add(client);
			return;
		}

		const [host, port] = this.upstream.split(':');
		const server = connect(Number(port), host);
		this.sockets.add(server);
		server.on('error', () => {
			// The close event follows.
		});
		this.forward(client, server);
		this.forward(server, client);
	}

	private forward(source: Socket, destination: Socket): void {
		source.on('data', chunk => {
			if (!this.frozen.has(source)) {
				destination.write(chunk);
			}
		});
		source.on('close', () => {
			this.sockets.delete(source);
			if (!this.frozen.has(source)) {
				destination.destroy();
			}
		});
	}
}
