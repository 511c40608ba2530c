/** Bandwidth that concurrent transfers share: a few run at full speed, and more of them divide that bandwidth. */

/** Transfers in progress, each with the time that it still needs at full speed. */
export class SharedBandwidth<Transfer> {
	private readonly remainingMs = new Map<Transfer, number>();

	/** `fullSpeedTransfers`: number of concurrent transfers that do not slow each other down. */
	constructor(private readonly fullSpeedTransfers: number) {}

	/** Number of transfers in progress. */
	get size(): number {
		return this.remainingMs.size;
	}

	/** Adds a transfer that takes `durationMs` at full speed. */
	add(transfer: Transfer, durationMs: number): void {
		this.remainingMs.set(transfer, durationMs);
	}

	remove(transfer: Transfer): void {
		this.remainingMs.delete(transfer);
	}

	/** Lets `elapsedMs` pass; returns the transfers that this completes, and removes them. */
	advance(elapsedMs: number): Transfer[] {
		const speed = Math.min(1, this.fullSpeedTransfers / Math.max(1, this.size));
		const completed: Transfer[] = [];
		for (const [transfer, remainingMs] of this.remainingMs) {
			const nextRemainingMs = remainingMs - (elapsedMs * speed);
			this.remainingMs.set(transfer, nextRemainingMs);
			if (nextRemainingMs <= 0) {
				this.remainingMs.delete(transfer);
				completed.push(transfer);
			}
		}

		return completed;
	}
}
