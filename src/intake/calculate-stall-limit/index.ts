/** Calculates for how long a body may go without progress. */

/** Shortest limit, in milliseconds; a lost packet is repeated within that time. */
const shortestLimitMs = 1000;

/** Returns the limit in milliseconds: `limitMs` while no memory for bodies is held, and less the more of it is. */
export function calculateStallLimit(limitMs: number, heldBytes: number, capacityBytes: number): number {
	const freeShare = Math.max(0, 1 - (heldBytes / capacityBytes));
	return Math.max(Math.min(shortestLimitMs, limitMs), limitMs * freeShare);
}
