/** Limits retries to a fraction of requests, so that retries never multiply the load of a failing fleet. */

/** Retries allowed for each request. */
export const retriesPerRequest = 0.1;
/** Retries allowed before any request has been counted; without them an idle instance could never retry. */
export const initialRetries = 20;
const highestLevel = 100;

/** Retry budget of one instance: over `n` requests at most `initialRetries + n * retriesPerRequest` retries. */
export class RetryBudget {
	private level = initialRetries;

	/** Counts a request. */
	noteRequest(): void {
		this.level = Math.min(highestLevel, this.level + retriesPerRequest);
	}

	/** Takes one retry; returns whether there was one. */
	take(): boolean {
		if (this.level < 1) {
			return false;
		}

		this.level -= 1;
		return true;
	}

	/** Retries left. */
	readLevel(): number {
		return this.level;
	}
}
