/** Records what callers sent and received and what targets ran, and checks invariants on these records. */

/** What can crash targets: a part of prompts, or one whole request that is sent again and again. */
export type Culprit = 'part' | 'request';

/** Whether a request can crash targets, and by what. */
export type RequestKind = 'sound' | 'crashingPart' | 'crashingRequest';

/** A request as sent by its caller. */
export type SentRequest = {
	readonly id: string;
	readonly method: string;
	readonly path: string;
	readonly body: string;
	/** Organisation that the caller's key belongs to, or undefined if the key was withdrawn. */
	readonly organisation: string | undefined;
	readonly mayRepeat: boolean;
	readonly instance: string;
	readonly at: number;
	/** Undefined if the request is not compared with others. */
	readonly kind?: RequestKind;
};

/** A request as received by a target. */
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

/** Result of a request as seen by its caller. */
export type CallerOutcome = {
	readonly id: string;
	/** Undefined if no complete answer was received. */
	readonly status: number | undefined;
	/** Status in the head of the answer, which may have been received without the whole body. */
	readonly headStatus?: number;
	/** Whether the answer is complete and belongs to this request. */
	readonly isValid: boolean;
	readonly detail: string;
	readonly at: number;
};

/** A violated invariant. */
export type Violation = {readonly invariant: string; readonly detail: string};

/** Statuses which state that the request did not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const permanentRefusalStatuses: ReadonlySet<number> = new Set([400, 401, 403, 404]);
const successStatus = 200;

/** Records of one run of the soak test. */
export class SoakRecorder {
	readonly violations: Violation[] = [];
	private readonly requests = new Map<string, SentRequest>();
	private readonly runs = new Map<string, TargetRun[]>();
	private readonly outcomes = new Map<string, CallerOutcome>();

	recordSent(request: SentRequest): void {
		this.requests.set(request.id, request);
	}

	/** Records that a target started to run a request, and checks the received request. */
	recordRun(run: TargetRun): void {
		const request = this.requests.get(run.id);
		const runs = [...this.runs.get(run.id) ?? [], run];
		this.runs.set(run.id, runs);
		if (request === undefined) {
			this.reportViolation('request integrity', `${run.target} ran ${run.id}, which no caller sent`);
			return;
		}

		for (const field of ['method', 'path', 'body'] as const) {
			if (request[field] !== run[field]) {
				this.reportViolation('request integrity', `${field} of ${run.id} was changed`);
			}
		}

		if (run.hasKey || run.organisation !== request.organisation) {
			this.reportViolation('organisation', `${run.id} ran for ${run.organisation}, key passed on: ${run.hasKey}`);
		}

		if (runs.length > 1 && !request.mayRepeat) {
			this.reportViolation('at most once', `${run.id} ran at ${runs.map(({target}) => target).join(' and ')}`);
		}
	}

	/** Records the outcome of a request, and checks it. */
	recordOutcome(outcome: CallerOutcome): void {
		this.outcomes.set(outcome.id, outcome);
		const {id, status, isValid, detail} = outcome;
		if (status === successStatus && !isValid) {
			this.reportViolation('complete answer', `${id}: ${detail}`);
		}

		const hasOrganisation = this.requests.get(id)?.organisation !== undefined;
		if (status !== undefined && permanentRefusalStatuses.has(status) && hasOrganisation) {
			this.reportViolation('wrongly denied', `${id} got ${status}: ${detail}`);
		}

		if (status === successStatus && !hasOrganisation) {
			this.reportViolation('withdrawn key', `${id} was served`);
		}
	}

	/** Checks the invariants that can only be decided at the end of a run. */
	checkFinalState(): void {
		for (const [id, {status}] of this.outcomes) {
			const hasNonRepeatableRun = this.runs.has(id) && this.requests.get(id)?.mayRepeat === false;
			if (status !== undefined && notRunStatuses.has(status) && hasNonRepeatableRun) {
				this.reportViolation('not run', `${id} got ${status} and ran`);
			}
		}
	}

	reportViolation(invariant: string, detail: string): void {
		this.violations.push({invariant, detail});
	}

	/** Lists the outcomes of requests sent at or after `since`, in Unix milliseconds. */
	listOutcomes(since = 0): CallerOutcome[] {
		return [...this.outcomes.values()].filter(({id}) => (this.requests.get(id)?.at ?? 0) >= since);
	}

	listRuns(): TargetRun[] {
		return [...this.runs.values()].flat();
	}

	/** Lists the sent requests of a kind. */
	listRequests(kind: RequestKind): SentRequest[] {
		return [...this.requests.values()].filter(request => request.kind === kind);
	}

	findRequest(id: string): SentRequest | undefined {
		return this.requests.get(id);
	}

	hasRun(id: string): boolean {
		return this.runs.has(id);
	}
}
