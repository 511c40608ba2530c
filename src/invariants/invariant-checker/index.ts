/** Runtime checks of the program's invariants. */

import VError from 'verror';

/** Invariants of the request path. */
export type RequestInvariant = 'contiguousOffsets' | 'oneGeneration' | 'atMostOneAttempt' | 'noSecretInOutgoingBytes';

/** Invariants of the token budgets. */
export type BudgetInvariant = 'partOverfull' | 'negativeTokens' | 'lotOverspent' | 'reportOverGrant';

/** Name of an invariant, used as a metric label. */
export type InvariantName
	= 'contentMatchesHead'
		| 'heartbeatMonotonic'
		| 'incarnationMonotonic'
		| 'oneContentPerRevision'
		| 'orderUnderLease'
		| 'revisionMonotonic'
		| 'twoLoads'
		| BudgetInvariant
		| RequestInvariant;

/** Options of `InvariantChecker`. */
export type InvariantCheckerOptions = {
	/** Whether a violation throws. Tests set it; a daemon counts the violation and continues. */
	readonly isStrict: boolean;
	readonly onViolation?: (name: InvariantName, detail: string) => void;
};

/** Counts violations of invariants; in strict mode, also throws. */
export class InvariantChecker {
	readonly violations = new Map<InvariantName, number>();

	constructor(private readonly options: InvariantCheckerOptions) {}

	/** Records a violation of `name` unless `holds`. */
	check(name: InvariantName, holds: boolean, detail: string): void {
		if (holds) {
			return;
		}

		this.violations.set(name, (this.violations.get(name) ?? 0) + 1);
		this.options.onViolation?.(name, detail);
		if (this.options.isStrict) {
			throw new VError({name: 'InvariantError'}, 'invariant %s is violated: %s', name, detail);
		}
	}
}

/** Whether `error` was thrown by a strict checker. */
export function isInvariantError(error: unknown): boolean {
	return error instanceof Error && error.name === 'InvariantError';
}
