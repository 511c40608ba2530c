/** Times and sizes of the fleet budgets. */

/** Parts of each slot: a crashed owner locks an eighth of the budget. */
export const partCount = 8;
/** Slots that organisations are hashed into; one ledger object of about 10 KB holds them all. */
export const slotCount = 64;

/** Times of the fleet budgets, in milliseconds. */
export type BudgetTimings = {
	/** Validity of an instance lease. Outlasts a store outage of a minute twice over. */
	readonly leaseMs: number;
	readonly renewIntervalMs: number;
	/** Taken off the end of the lease by its holder: allows for clock rates that differ by 0.5%. */
	readonly leaseMarginMs: number;
	/** Validity of a lease on a dead owner's record while its parts are being freed. */
	readonly takeoverMs: number;
	readonly ledgerIntervalMs: number;
	/** Validity of a grant at its holder, from the sending of the request. */
	readonly grantMs: number;
	/** When a grant counts as spent at its owner: the validity plus a fifth for differing clocks. */
	readonly grantExpiryMs: number;
	/** An unspent lot goes back this long before its end, so that its tokens are not destroyed. */
	readonly returnMs: number;
	readonly tickMs: number;
	/** Demand that a holder keeps lots for ahead of time. */
	readonly prefetchMs: number;
	/** Pause after owners had nothing to grant. */
	readonly refillPauseMs: number;
	/** Longest time between reports of spent tokens. */
	readonly reportMs: number;
	readonly callTimeoutMs: number;
	/** Least time between two steps in which an owner gives up parts of one slot for balance. */
	readonly rebalanceMs: number;
};

export const defaultBudgetTimings: BudgetTimings = {
	leaseMs: 180_000,
	renewIntervalMs: 20_000,
	leaseMarginMs: 1000,
	takeoverMs: 10_000,
	ledgerIntervalMs: 5000,
	grantMs: 5000,
	grantExpiryMs: 6000,
	returnMs: 1000,
	tickMs: 100,
	prefetchMs: 500,
	refillPauseMs: 50,
	reportMs: 500,
	callTimeoutMs: 200,
	rebalanceMs: 1000,
};
