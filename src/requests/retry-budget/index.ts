/** Limits retries to a fraction of requests, so that retries never multiply the load of a failing fleet. */

/** Retries allowed for each request. */
export const retriesPerRequest = 0.1;
/** Retries allowed before any request has been counted; without them an idle instance could never retry. */
export const initialRetries = 20;
const highestLevel = 100;

/** Size of a retry budget. */
export type RetryBudgetOptions = {
	/** Retries earned by each request. */
	readonly retriesPerRequest: number;
	/** Retries allowed before any request has been counted. */
	readonly initialRetries: number;
	/** Retries that can be saved up. */
	readonly highestLevel: number;
};

const defaultOptions: RetryBudgetOptions = {retriesPerRequest, initialRetries, highestLevel};

/** Retry budget of one instance: over `n` requests at most `initialRetries + n * retriesPerRequest` retries. */
export class RetryBudget {
	private level: number;

	constructor(private readonly options: RetryBudgetOptions = defaultOptions) {
		this.level = options.initialRetries;
	}

	/** Counts a request. */
	noteRequest(): void {
		this.level = Math.min(this.options.highestLevel, this.level + this.options.retriesPerRequest);
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
