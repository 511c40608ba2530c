/** A caller that does not keep to the limits of the configuration: it sends large bodies, and often stops just before their end. */

import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {parseAddress} from '../../http/parse-address/index.js';

/** How the body is sent. */
export type UntrustedBody = {
	/** Length of the body that is sent, in bytes. */
	readonly sentBytes: number;
	/** Length in the head; undefined for a body in chunks. */
	readonly announcedBytes?: number | undefined;
	/** Size of one write, and of one chunk of a body in chunks, in bytes. */
	readonly pieceBytes: number;
	/** Whether the last byte or the last chunk is left out. */
	readonly isCutShort: boolean;
};

/** What a caller sends, and where. */
export type UntrustedCallerOptions = {
	readonly address: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: UntrustedBody;
	/** Whether the caller reads its answer; it does unless this is false. */
	readonly readsAnswer?: boolean | undefined;
};

/** Chunks are written together up to this size, in bytes, because one write for each small chunk would bound the load by the sender. */
const writeBytes = 16 * 1024;
const hexadecimal = 16;

/** One connection with one request. */
export class UntrustedCaller {
	/** Status of the answer; undefined without one. */
	status: number | undefined;
	private readonly socket: Socket;

	constructor(private readonly options: UntrustedCallerOptions) {
		const {host, port} = parseAddress(options.address);
		this.socket = connect({host, port});
		this.socket.on('error', () => {
			// The instance may reset the connection of such a caller.
		});
		if (options.readsAnswer === false) {
			return;
		}

		this.socket.on('data', data => {
			this.status ??= Number(/^HTTP\/1\.1 (\d{3})/u.exec(data.toString('latin1'))?.[1]);
		});
	}

	/** Sends the request; resolves when all is sent or the connection is closed. The connection stays open. */
	async send(): Promise<void> {
		await this.write(Buffer.from(this.buildHead()));
		for (const [piece, count] of buildPieces(this.options.body)) {
			for (let index = 0; index < count && !this.socket.destroyed; index += 1) {
				await this.write(piece);
			}
		}
	}

	/** Closes the connection. */
	close(): void {
		this.socket.destroy();
	}

	private async write(piece: Buffer): Promise<void> {
		if (!this.socket.destroyed && !this.socket.write(piece)) {
			// A connection that is reset ends the wait as one that is closed does.
			await Promise.race([once(this.socket, 'drain'), once(this.socket, 'close')]).catch(() => undefined);
		}
	}

	private buildHead(): string {
		const {path, headers, body: {announcedBytes}} = this.options;
		const framing = announcedBytes === undefined ? 'transfer-encoding: chunked' : `content-length: ${announcedBytes}`;
		const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
		return [`POST ${path} HTTP/1.1`, ...lines, framing, '', ''].join('\r\n');
	}
}

/** Builds the writes of a body, and how often each is repeated. */
function buildPieces({sentBytes, announcedBytes, pieceBytes, isCutShort}: UntrustedBody): ReadonlyArray<readonly [piece: Buffer, count: number]> {
	if (announcedBytes !== undefined) {
		const wholePieces = Math.ceil(sentBytes / pieceBytes) - 1;
		const lastBytes = sentBytes - (wholePieces * pieceBytes) - (isCutShort ? 1 : 0);
		return [[Buffer.alloc(pieceBytes, 'a'), wholePieces], [Buffer.alloc(lastBytes, 'a'), 1]];
	}

	const chunk = `${pieceBytes.toString(hexadecimal)}\r\n${'a'.repeat(pieceBytes)}\r\n`;
	const chunks = Math.floor(sentBytes / pieceBytes);
	const chunksPerWrite = Math.ceil(writeBytes / chunk.length);
	return [
		[Buffer.from(chunk.repeat(chunksPerWrite)), Math.floor(chunks / chunksPerWrite)],
		[Buffer.from(chunk.repeat(chunks % chunksPerWrite) + (isCutShort ? '' : '0\r\n\r\n')), 1],
	];
}
