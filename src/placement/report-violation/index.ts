/**
 * Reports a breach of invariant 1: a cache entry of another incarnation, organisation or weights
 * version was about to be counted for a request. The entry is not counted in any case.
 */

import process from 'node:process';
import {Counter} from 'prom-client';
import VError from 'verror';

/** What differed between the entry and the request. */
export type ViolationKind = 'incarnation' | 'scope';

/** Breaches of invariant 1 found by the check inside the program; every value above 0 is a defect. */
export const placementViolations = new Counter({
	name: 'laburnumturn_placement_invariant_violations_total',
	help: 'Cache entries of another incarnation, organisation or weights version that a placement met',
	labelNames: ['kind'],
});

/** Counts the breach; under the test runner it throws as well. */
export function reportViolation(kind: ViolationKind, detail: string): void {
	placementViolations.inc({kind});
	// The test runner of Node sets this variable in each test process.
	if (process.env.NODE_TEST_CONTEXT !== undefined) {
		throw new VError('invariant 1 violated (%s): %s', kind, detail);
	}
}
