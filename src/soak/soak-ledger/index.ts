/** What callers sent and got, and what targets ran, with the promises that are checked from it. */

/** A request as its caller sent it. */
export type SentRequest = {
	readonly id: string;
	readonly method: string;
	readonly path: string;
	readonly body: string;
	/** Organisation that holds the caller's key; undefined when the key was withdrawn. */
	readonly organisation: string | undefined;
	readonly mayRepeat: boolean;
	readonly instance: string;
	readonly at: number;
};

/** A request as a target got it. */
export type TargetRun = {
	readonly id: string;
	readonly method: string;
	readonly path: string;
	readonly body: string;
	readonly organisation: string | undefined;
	readonly hasKey: boolean;
	readonly target: string;
	readonly at: number;
};

/** How a request ended at its caller. `isValid`: a success with the whole answer of its own run. */
export type CallerOutcome = {readonly id: string; readonly status: number | undefined; readonly isValid: boolean; readonly detail: string; readonly at: number};

/** A promise that was not kept. */
export type Violation = {readonly promise: string; readonly detail: string};

/** Statuses that say that the request did not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const refusedForGoodStatuses: ReadonlySet<number> = new Set([400, 401, 403, 404]);
const successStatus = 200;

/** Records of one run. */
export class SoakLedger {
	readonly violations: Violation[] = [];
	private readonly sent = new Map<string, SentRequest>();
	private readonly runs = new Map<string, TargetRun[]>();
	private readonly outcomes = new Map<string, CallerOutcome>();

	noteSent(request: SentRequest): void {
		this.sent.set(request.id, request);
	}

	/** Notes that a target began to work, and checks what it got. */
	noteRun(run: TargetRun): void {
		const request = this.sent.get(run.id);
		const runs = [...this.runs.get(run.id) ?? [], run];
		this.runs.set(run.id, runs);
		if (request === undefined) {
			this.violate('unasked', `${run.target} ran ${run.id}, which no caller sent`);
			return;
		}

		for (const field of ['method', 'path', 'body'] as const) {
			if (request[field] !== run[field]) {
				this.violate('unasked', `${field} of ${run.id} was changed`);
			}
		}

		if (run.hasKey || run.organisation !== request.organisation) {
			this.violate('organisation', `${run.id} ran for ${run.organisation}, key passed on: ${run.hasKey}`);
		}

		if (runs.length > 1 && !request.mayRepeat) {
			this.violate('once', `${run.id} ran at ${runs.map(({target}) => target).join(' and ')}`);
		}
	}

	/** Notes how a request ended, and checks what its caller got. */
	noteOutcome(outcome: CallerOutcome): void {
		this.outcomes.set(outcome.id, outcome);
		const {id, status, isValid, detail} = outcome;
		if (status === successStatus && !isValid) {
			this.violate('whole answer', `${id}: ${detail}`);
		}

		const isKnown = this.sent.get(id)?.organisation !== undefined;
		if (status !== undefined && refusedForGoodStatuses.has(status) && isKnown) {
			this.violate('wrongly denied', `${id} got ${status}: ${detail}`);
		}

		if (status === successStatus && !isKnown) {
			this.violate('withdrawn key', `${id} was served`);
		}
	}

	/** Checks what can only be said at the end. */
	checkEnd(): void {
		for (const [id, {status}] of this.outcomes) {
			const isRun = this.runs.has(id) && this.sent.get(id)?.mayRepeat === false;
			if (status !== undefined && notRunStatuses.has(status) && isRun) {
				this.violate('not run', `${id} got ${status} and ran`);
			}
		}
	}

	violate(promise: string, detail: string): void {
		this.violations.push({promise, detail});
	}

	/** Outcomes of the requests sent from `since` on. */
	listOutcomes(since = 0): CallerOutcome[] {
		return [...this.outcomes.values()].filter(({id}) => (this.sent.get(id)?.at ?? 0) >= since);
	}

	listRuns(): TargetRun[] {
		return [...this.runs.values()].flat();
	}

	findSent(id: string): SentRequest | undefined {
		return this.sent.get(id);
	}

	hasRun(id: string): boolean {
		return this.runs.has(id);
	}
}
