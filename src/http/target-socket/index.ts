/**
 * TCP connection to a target that reports each reset as an error.
 *
 * When a reset arrives together with the last bytes, Node reports an ordinary end of the connection instead. A response
 * without length and chunks ends with its connection, so that a truncated one would look complete.
 */

import {
	Socket, type SocketConstructorOpts, type TcpNetConnectOpts,
} from 'node:net';

/** The target reset the connection. */
export class ConnectionResetError extends Error {
	constructor(cause?: Error) {
		super('the target reset the connection', {cause});
	}

	/** Differs from the system's `ECONNRESET`, which `undici` takes as the ordinary end of a response without length. */
	get code(): string {
		return 'CONNECTION_RESET';
	}
}

/** A connection to a target. */
export class TargetSocket extends Socket {
	private isHeld = false;

	/** Stops reading until `release`, whoever resumes the connection; a response does, for more of its body. */
	hold(): void {
		this.isHeld = true;
		this.pause();
	}

	/** Reads on after `hold`. */
	release(): void {
		if (this.isHeld) {
			this.isHeld = false;
			this.resume();
		}
	}

	override resume(): this {
		return this.isHeld ? this : super.resume();
	}

	override push(chunk: unknown, encoding?: BufferEncoding): boolean {
		if (chunk === null && this.hasBeenReset()) {
			this.destroy(new ConnectionResetError());
			return false;
		}

		return super.push(chunk, encoding);
	}

	override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
		const isReset = error !== null && 'code' in error && error.code === 'ECONNRESET';
		super._destroy(error, passedError => {
			callback(isReset && passedError ? new ConnectionResetError(passedError) : passedError);
		});
	}

	/**
	 * A connection that the target has closed in order still has a remote address, one that was reset has none. Node
	 * remembers an address that was read, so nothing may read it before.
	 */
	private hasBeenReset(): boolean {
		return !this.destroyed && this.remoteAddress === undefined;
	}
}

/** Opens a connection with the options of an HTTP agent. */
export function openTargetSocket(options: SocketConstructorOpts & TcpNetConnectOpts): TargetSocket {
	const socket = new TargetSocket(options);
	if (options.timeout !== undefined) {
		socket.setTimeout(options.timeout);
	}

	return socket.connect(options);
}
