/** Measures admissions against the bound of a token bucket, which holds for every interval. */

/** One admitted request. */
export type AdmittedRequest = {readonly at: number; tokens: number};

/**
 * Returns the largest excess over the rate in any interval, in tokens. The excess of an interval from
 * s to e is (tokens admitted from s to e) - rate x (e - s). The bound holds if it is at most the burst.
 */
export function measureExcess(requests: readonly AdmittedRequest[], tokensPerSecond: number): number {
	let excess = 0;
	let largestExcess = 0;
	let previousAt = 0;
	for (const {at: admittedAt, tokens} of requests) {
		excess = Math.max(0, excess - ((admittedAt - previousAt) / 1000 * tokensPerSecond)) + tokens;
		largestExcess = Math.max(largestExcess, excess);
		previousAt = admittedAt;
	}

	return largestExcess;
}
