/**
 * Reports a violation of invariant 1: a cache entry of another incarnation, organisation or weights
 * version was about to be counted for a request. The caller never counts such an entry.
 */

import process from 'node:process';
import {Counter} from 'prom-client';
import VError from 'verror';

/** What differed between the entry and the request. */
export type ViolationKind = 'incarnation' | 'scope';

/** Counts violations of invariant 1 that were detected at run time. Any value above 0 indicates a defect. */
export const placementViolations = new Counter({
	name: 'laburnumturn_placement_invariant_violations_total',
	help: 'Cache entries of another incarnation, organisation or weights version that a placement met',
	labelNames: ['kind'],
});

/** Counts the violation. Under the test runner, also throws. */
export function reportViolation(kind: ViolationKind, detail: string): void {
	placementViolations.inc({kind});
	// Node's test runner sets this variable in each test process.
	if (process.env.NODE_TEST_CONTEXT !== undefined) {
		throw new VError('invariant 1 violated (%s): %s', kind, detail);
	}
}
