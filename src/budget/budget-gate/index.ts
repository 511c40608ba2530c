/** Admission of requests against an organisation's token budget. */

import type {ResolvedOrganisation} from '../../configuration/configuration/index.js';

/** Token charge of an admitted request. */
export type Admission = {
	/** Returns the unused part of the charge. Later calls have no effect. */
	settle(usedTokens: number): void;
};

/** Admits requests. */
export type BudgetGate = {
	/**
	 * Charges `tokens` to the organisation, and waits up to `waitMs` for tokens to become available.
	 * Rejects with `budgetExceeded`, `burstExceeded` or `budgetUnavailable`.
	 */
	admit(organisation: ResolvedOrganisation, tokens: number, waitMs: number): Promise<Admission>;
};
