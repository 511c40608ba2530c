/** Messages of the peer method `budget.exchange`, which reports spent and returned tokens and requests new ones. */

import {z} from 'zod';
import type {OrganisationId} from '../../identity/ids/index.js';

export const exchangeMethod = 'budget.exchange';

const tokensSchema = z.number().nonnegative().max(1e12);

/** Cumulative totals of one grant. The receiver keeps the highest values, so reports are idempotent and may arrive late. */
const reportSchema = z.object({grant: z.string().max(200), spent: tokensSchema, returned: tokensSchema});
/** Request for tokens of one organisation. */
const wantSchema = z.object({organisation: z.string().max(200).transform(id => id as OrganisationId), tokens: tokensSchema});

/** Request of `budget.exchange`. */
export const exchangeRequestSchema = z.object({
	/** Role of the receiver: a co-owner grants from its own parts only, a coordinator also asks the co-owners. */
	role: z.enum(['coordinator', 'coOwner']),
	/** Latest ledger revision that the sender knows; 0 if it knows none. */
	ledgerRevision: z.number(),
	reports: z.array(reportSchema).max(100_000),
	wants: z.array(wantSchema).max(100_000),
});

export type ExchangeRequest = z.infer<typeof exchangeRequestSchema>;
export type GrantReport = z.infer<typeof reportSchema>;
export type TokenWant = z.infer<typeof wantSchema>;

/** Tokens that the requester may spend until `validMs` after it sent its request. */
export type Grant = {
	readonly id: string;
	readonly organisation: OrganisationId;
	readonly tokens: number;
	readonly validMs: number;
};

/** Tokens that an owner has left after its grants. */
export type OwnerLevel = {readonly organisation: OrganisationId; readonly tokens: number};

/** Answer to `budget.exchange`. */
export type ExchangeAnswer = {
	readonly ledgerRevision: number;
	readonly grants: readonly Grant[];
	readonly levels: readonly OwnerLevel[];
	/** Latest ledger that the responder knows, if it is newer than the requester's. */
	readonly ledger?: unknown;
};
