/**
 * Turns of connections whose bytes come in many short pieces. Parsing one read of them takes milliseconds, so that a few such
 * connections would hold up all others; one of them reads in each turn of the event loop.
 */

/** Pieces in one read from a connection beyond which it has to wait for its turn. */
export const maximumPiecesPerRead = 1024;

/** Gives turns in the order in which they were asked for. */
export class ReadTurns {
	private readonly waiting: Array<() => void> = [];

	/** Calls `read` once it is the connection's turn, which is in a later turn of the event loop. */
	wait(read: () => void): void {
		this.waiting.push(read);
		if (this.waiting.length === 1) {
			this.scheduleNext();
		}
	}

	private scheduleNext(): void {
		setImmediate(() => {
			this.waiting.shift()?.();
			if (this.waiting.length > 0) {
				this.scheduleNext();
			}
		});
	}
}
