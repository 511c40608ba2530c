/** Checks at run time that a broken rule of the budgets is seen: counted, logged, and thrown in tests. */

import type {Counter} from 'prom-client';
import type {EventLogger} from '../../logging/create-logger/index.js';

/** Rules that are checked. */
export type BudgetInvariant = 'partOverfull' | 'negativeTokens' | 'lotOverspent' | 'reportOverGrant';

/** What a broken rule does. */
export type BudgetInvariantsOptions = {
	readonly counter?: Counter<'invariant'>;
	readonly logger?: EventLogger;
	/** Throws on a broken rule; for tests. */
	readonly isStrict?: boolean;
};

/** Checker of the budget rules. */
export class BudgetInvariants {
	constructor(private readonly options: BudgetInvariantsOptions = {}) {}

	/** Reports `invariant` as broken unless `holds`. */
	check(invariant: BudgetInvariant, holds: boolean, detail: string): void {
		if (holds) {
			return;
		}

		this.options.counter?.inc({invariant});
		this.options.logger?.error('budget invariant broken', {invariant, detail});
		if (this.options.isStrict === true) {
			throw new Error(`budget invariant ${invariant} broken: ${detail}`);
		}
	}
}

/** Rounding allowed in sums of tokens, relative to the sum. */
const relativeRounding = 1e-9;
const absoluteRounding = 1e-6;

/** Whether `a` is at most `b`, but for rounding. */
export function isAtMost(a: number, b: number): boolean {
	return a <= b + absoluteRounding + (Math.abs(b) * relativeRounding);
}
