/** Small UDP messages between instances. Delivery is not guaranteed; where the next message replaces a lost one, this is cheaper than calls. */

import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';
import {parseAddress} from '../../http/parse-address/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';

/** Handles the body of a message. */
export type DatagramHandler = (body: unknown) => void;

/** Sends and receives messages of several types on one socket. */
export type DatagramTransport = {
	/** Sets the handler for messages of a type; each type has one handler. */
	register(type: string, handler: DatagramHandler): void;
	/** Sends one message to each address (`host:port`). */
	send(addresses: readonly string[], type: string, body: unknown): void;
};

type Message = {readonly type: string; readonly body: unknown};

/** Channel over UDP. */
export class DatagramChannel implements DatagramTransport {
	private readonly socket: Socket;
	private readonly handlers = new Map<string, DatagramHandler>();
	private isClosed = false;

	constructor(private readonly logger: EventLogger) {
		this.socket = createSocket('udp4');
		this.socket.on('message', data => {
			this.receive(data);
		});
		this.socket.on('error', error => {
			logger.warn('datagram channel failed', {reason: error.message});
		});
	}

	/** Listens at `address` until `signal` aborts. */
	async listen(address: string, signal: AbortSignal): Promise<void> {
		const {host, port} = parseAddress(address);
		this.socket.bind(port, host);
		await once(this.socket, 'listening');
		signal.addEventListener('abort', () => {
			this.isClosed = true;
			this.socket.close();
		}, {once: true});
	}

	register(type: string, handler: DatagramHandler): void {
		this.handlers.set(type, handler);
	}

	/** Sends a message. Drops it once the channel is closed, since tasks may end a little later. */
	send(addresses: readonly string[], type: string, body: unknown): void {
		if (this.isClosed) {
			return;
		}

		const message: Message = {type, body};
		const data = Buffer.from(JSON.stringify(message));
		for (const address of addresses) {
			const {host, port} = parseAddress(address);
			this.socket.send(data, port, host);
		}
	}

	private receive(data: Buffer): void {
		try {
			const {type, body} = JSON.parse(data.toString('utf8')) as Message;
			this.handlers.get(type)?.(body);
		} catch (error) {
			this.logger.warn('datagram ignored', {reason: (error as Error).message});
		}
	}
}
