/** A TCP proxy that can delay, reset or stall connections, or drop the bytes of one direction. */

import {once} from 'node:events';
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {listenLocally} from '../../http/listen-locally/index.js';
import {parseAddress} from '../../http/parse-address/index.js';

/**
 * What the proxy does. `deaf` drops the bytes from the server to the client only. `silent` drops the bytes of both
 * directions and keeps connections open. A direction of a connection that has lost bytes carries none afterwards, as TCP
 * delivers no byte after a gap. `reset` resets all connections, including open ones. `refuse` refuses new ones and
 * leaves open ones alone.
 */
export type ProxyMode = 'pass' | 'delay' | 'deaf' | 'silent' | 'reset' | 'refuse';

const forwardDelayMs = 150;

/** Proxy to one address. */
export class FaultyProxy {
	private mode: ProxyMode = 'pass';
	/** Address at which the proxy listens. */
	private address = '';
	private readonly sockets = new Set<Socket>();
	/** Sockets to which no byte is forwarded any more. */
	private readonly stalledSockets = new WeakSet<Socket>();
	private readonly server: Server;

	constructor(private readonly upstreamAddress: string) {
		this.server = createServer(socket => {
			this.acceptConnection(socket);
		});
	}

	/** Number of open connections, including stalled ones. */
	get connectionCount(): number {
		return this.sockets.size / 2;
	}

	/** Starts listening, at a free port unless an address is given; returns `host:port`. */
	async listen(address?: string): Promise<string> {
		if (address === undefined) {
			this.address = await listenLocally(this.server);
			return this.address;
		}

		this.address = address;
		this.resumeListening();
		await once(this.server, 'listening');
		return address;
	}

	/** Sets the mode of all connections, including new ones. */
	setMode(mode: ProxyMode): void {
		if (mode === 'refuse') {
			this.server.close();
		} else if (this.mode === 'refuse') {
			this.resumeListening();
		}

		this.mode = mode;
		if (mode === 'reset') {
			for (const socket of this.sockets) {
				resetSocket(socket);
			}
		}
	}

	/** Drops all further bytes of the connections that are open now, without closing them; new connections work. */
	stallOpenConnections(): void {
		for (const socket of this.sockets) {
			this.stalledSockets.add(socket);
		}
	}

	/** Destroys all connections and stops listening. */
	close(): void {
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	private resumeListening(): void {
		const {host, port} = parseAddress(this.address);
		this.server.listen(port, host);
	}

	private acceptConnection(client: Socket): void {
		if (this.mode === 'reset') {
			resetSocket(client);
			return;
		}

		const {host, port} = parseAddress(this.upstreamAddress);
		const server = connect(port, host);
		this.trackSocket(client, server);
		this.trackSocket(server, client);
		client.on('data', chunk => {
			void this.forwardChunk(chunk, server, this.mode === 'silent');
		});
		server.on('data', chunk => {
			void this.forwardChunk(chunk, client, this.mode === 'silent' || this.mode === 'deaf');
		});
	}

	private trackSocket(socket: Socket, peer: Socket): void {
		this.sockets.add(socket);
		socket.setNoDelay(true);
		socket.on('end', () => {
			peer.end();
		});
		socket.on('error', () => {
			resetSocket(peer);
		});
		socket.on('close', () => {
			this.sockets.delete(socket);
			peer.destroySoon();
		});
	}

	private async forwardChunk(chunk: Buffer, destination: Socket, shouldDrop: boolean): Promise<void> {
		if (shouldDrop || this.stalledSockets.has(destination)) {
			this.stalledSockets.add(destination);
			return;
		}

		if (this.mode === 'delay') {
			await delay(forwardDelayMs);
		}

		if (destination.writable) {
			destination.write(chunk);
		}
	}
}

/** Resets a socket unless it is already destroyed; resetting one that is being closed would leave a handle open and keep the process alive. */
function resetSocket(socket: Socket): void {
	if (!socket.destroyed) {
		socket.resetAndDestroy();
	}
}
