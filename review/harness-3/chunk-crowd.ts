/** A crowd of clients that send bodies of legal size in very small chunks, stop just short of their end, and stay open. */

import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {parseAddress} from '../../src/http/parse-address/index.js';

/** The crowd. */
export type ChunkCrowdOptions = {
	readonly address: string;
	readonly host: string;
	readonly path: string;
	readonly clients: number;
	/** Size of each body, and of its chunks, in bytes. */
	readonly bodyBytes: number;
	readonly chunkBytes: number;
	/** Bytes that all clients together send in a second. */
	readonly bytesPerSecond: number;
};

const stepMs = 20;
const msPerSecond = 1000;
const hexadecimal = 16;

/** Sends the bodies of all clients side by side at a steady rate; resolves to what closes the connections. */
export async function sendChunkCrowd({address, host, path, clients, bodyBytes, chunkBytes, bytesPerSecond}: ChunkCrowdOptions): Promise<() => void> {
	const {host: ip, port} = parseAddress(address);
	const chunk = `${chunkBytes.toString(hexadecimal)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
	const chunksPerStep = Math.max(1, Math.floor(bytesPerSecond * stepMs / msPerSecond / clients / chunk.length));
	const block = Buffer.from(chunk.repeat(chunksPerStep));
	const sockets = Array.from({length: clients}, (_, client): Socket => {
		const socket = connect(port, ip);
		socket.on('error', () => {
			// The instance may close or reset the connection of such a client.
		});
		socket.resume();
		socket.write(`POST ${path} HTTP/1.1\r\nhost: ${host}\r\nX-Laburnumturn-Request-Id: crowd-${port}-${client}\r\ntransfer-encoding: chunked\r\n\r\n`);
		return socket;
	});
	const steps = Math.floor(bodyBytes / chunkBytes / chunksPerStep);
	await Promise.all(sockets.map(async socket => sendBody(socket, block, steps)));
	return () => {
		for (const socket of sockets) {
			socket.destroy();
		}
	};
}

async function sendBody(socket: Socket, block: Buffer, steps: number): Promise<void> {
	for (let step = 0; step < steps && !socket.destroyed; step += 1) {
		if (!socket.write(block)) {
			await Promise.race([once(socket, 'drain'), once(socket, 'close')]).catch(() => undefined);
		}

		await delay(stepMs);
	}
}
