/** The message `budget.exchange`: reports of spent and returned tokens, and wants of new ones. */

import {z} from 'zod';
import type {OrganisationId} from '../../identity/ids/index.js';

export const exchangeMethod = 'budget.exchange';

const tokensSchema = z.number().nonnegative().max(1e12);

/** Running totals of one grant; the highest ones seen count, so a report may be late or repeated. */
const reportSchema = z.object({grant: z.string().max(200), spent: tokensSchema, returned: tokensSchema});
const wantSchema = z.object({organisation: z.string().max(200).transform(id => id as OrganisationId), tokens: tokensSchema});

/** Request of `budget.exchange`. */
export const exchangeRequestSchema = z.object({
	/** A co-owner is asked for tokens of its own parts only; a coordinator also asks the co-owners. */
	role: z.enum(['coordinator', 'coOwner']),
	/** Revision of the ledger that the sender knows; 0 when it knows none. */
	ledgerRevision: z.number(),
	reports: z.array(reportSchema).max(100_000),
	wants: z.array(wantSchema).max(100_000),
});

export type ExchangeRequest = z.infer<typeof exchangeRequestSchema>;
export type GrantReport = z.infer<typeof reportSchema>;
export type TokenWant = z.infer<typeof wantSchema>;

/** Tokens that the asker may spend for `validMs` from the sending of its request. */
export type Grant = {
	readonly id: string;
	readonly organisation: OrganisationId;
	readonly tokens: number;
	readonly validMs: number;
};

/** Tokens that an owner still has after it granted. */
export type OwnerLevel = {readonly organisation: OrganisationId; readonly tokens: number};

/** Answer to `budget.exchange`. */
export type ExchangeAnswer = {
	readonly ledgerRevision: number;
	readonly grants: readonly Grant[];
	readonly levels: readonly OwnerLevel[];
	/** The ledger as this instance knows it, for an asker that knows none. */
	readonly ledger?: unknown;
};
