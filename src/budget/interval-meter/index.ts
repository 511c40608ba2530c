/** Checks admissions against the bound of a token bucket over every interval. */

/** One admitted request. */
export type AdmittedRequest = {readonly at: number; tokens: number};

/**
 * Measures the largest excess over the rate in any interval, in tokens: the largest value of
 * (tokens admitted from s to e) - rate x (e - s). The bound holds if it is at most the burst.
 */
export function measureExcess(requests: readonly AdmittedRequest[], tokensPerSecond: number): number {
	let excess = 0;
	let largest = 0;
	let last = 0;
	for (const {at, tokens} of requests) {
		excess = Math.max(0, excess - ((at - last) / 1000 * tokensPerSecond)) + tokens;
		largest = Math.max(largest, excess);
		last = at;
	}

	return largest;
}
