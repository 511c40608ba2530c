/** A crowd of clients whose requests stop just short of their end and stay open. Heads and bodies are of legal size. */

import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {parseAddress} from '../../src/http/parse-address/index.js';

/** The crowd. */
export type HeadCrowdOptions = {
	readonly address: string;
	readonly host: string;
	readonly path: string;
	readonly clients: number;
	/** Header lines of each request, and the length of each value, in bytes. */
	readonly headerLines: number;
	readonly valueBytes: number;
	/** Time over which the requests are sent, in milliseconds. */
	readonly sendMs: number;
};

/** A crowd that has been sent. */
export type HeadCrowd = {
	/** Size of one head, in bytes. */
	readonly headBytes: number;
	/** Connections that are still open. */
	countOpen(): number;
	close(): void;
};

const clientsPerStep = 20;

/** Sends the requests of a crowd; resolves when all are sent. The body of each is one chunk without the last one. */
export async function sendHeadCrowd(options: HeadCrowdOptions): Promise<HeadCrowd> {
	const {address, host, path, clients, headerLines, valueBytes, sendMs} = options;
	const value = 'v'.repeat(valueBytes);
	const lines = Array.from({length: headerLines}, (_, index) => `x-note-${index}: ${value}`);
	const {host: ip, port} = parseAddress(address);
	const sockets: Socket[] = [];
	let headBytes = 0;
	for (let client = 0; client < clients; client += 1) {
		const head = [
			`POST ${path} HTTP/1.1`,
			`host: ${host}`,
			`X-Laburnumturn-Request-Id: crowd-${port}-${client}`,
			'X-Laburnumturn-Deadline-Ms: 1500',
			...lines,
			'transfer-encoding: chunked',
			'',
			'',
		].join('\r\n');
		headBytes = head.length;
		const socket = connect(port, ip);
		socket.on('error', () => {
			// The instance may close or reset the connection of such a client.
		});
		socket.resume();
		socket.write(`${head}4\r\nbody\r\n`);
		sockets.push(socket);
		if (client % clientsPerStep === 0) {
			await delay(sendMs * clientsPerStep / clients);
		}
	}

	return {
		headBytes,
		countOpen: () => sockets.filter(socket => !socket.destroyed).length,
		close() {
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}
