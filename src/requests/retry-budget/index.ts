/** Limits retries to a fraction of requests, so that retries do not multiply the load on a failing fleet. */

/** Retries added to the budget for each request. */
export const retriesPerRequest = 0.1;
/** Retries available before the first request; without them, an idle instance could not retry. */
export const initialRetries = 20;
const maximumSavedRetries = 100;

/** Size of a retry budget. */
export type RetryBudgetOptions = {
	/** Retries added for each request. */
	readonly retriesPerRequest: number;
	/** Retries available before the first request. */
	readonly initialRetries: number;
	/** Maximum number of unused retries. */
	readonly maximumLevel: number;
};

const defaultOptions: RetryBudgetOptions = {retriesPerRequest, initialRetries, maximumLevel: maximumSavedRetries};

/** Retry budget of one instance: over `n` requests at most `initialRetries + n * retriesPerRequest` retries. */
export class RetryBudget {
	private level: number;

	constructor(private readonly options: RetryBudgetOptions = defaultOptions) {
		this.level = options.initialRetries;
	}

	/** Adds the retries for one request. */
	recordRequest(): void {
		this.level = Math.min(this.options.maximumLevel, this.level + this.options.retriesPerRequest);
	}

	/** Takes one retry if one is available; returns whether it did. */
	take(): boolean {
		if (this.level < 1) {
			return false;
		}

		this.level -= 1;
		return true;
	}

	/** Returns the number of available retries, including fractions. */
	readLevel(): number {
		return this.level;
	}
}
