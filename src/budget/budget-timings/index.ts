/** Timings and sizes of the fleet budgets. */

/** Parts per slot. A crashed owner of one part blocks an eighth of the budget. */
export const partsPerSlot = 8;
/** Slots that organisations are hashed to. One ledger object of about 10 KB holds them all. */
export const slotCount = 64;

/** Timings of the fleet budgets, in milliseconds. */
export type BudgetTimings = {
	/** Duration of an instance lease. Covers a store outage of one minute twice over. */
	readonly leaseDurationMs: number;
	readonly renewIntervalMs: number;
	/** The holder treats the lease as expired this much earlier, to allow for clock rates that differ by 0.5%. */
	readonly leaseMarginMs: number;
	/** Duration of the lease that a watcher takes over from a dead owner while it frees the owner's parts. */
	readonly takeoverLeaseMs: number;
	readonly ledgerIntervalMs: number;
	/** Validity of a grant at its holder, counted from the sending of the request. */
	readonly grantValidityMs: number;
	/** Time after which an owner counts a grant as spent: its validity plus a fifth to allow for differing clocks. */
	readonly grantExpiryMs: number;
	/** Unspent tokens of a grant are returned this long before it expires, so that they are not lost. A surplus is returned once the grant is this old. */
	readonly grantReturnMs: number;
	readonly tickIntervalMs: number;
	/** Period of expected demand for which a holder prefetches tokens. */
	readonly prefetchMs: number;
	/** Pause before the next request after owners granted too few tokens. */
	readonly refillPauseMs: number;
	/** Maximum time between reports of spent tokens. */
	readonly reportIntervalMs: number;
	readonly callTimeoutMs: number;
	/** Minimum time between two steps in which an owner gives up parts of one slot to rebalance. */
	readonly rebalanceIntervalMs: number;
};

export const defaultBudgetTimings: BudgetTimings = {
	leaseDurationMs: 180_000,
	renewIntervalMs: 20_000,
	leaseMarginMs: 1000,
	takeoverLeaseMs: 10_000,
	ledgerIntervalMs: 5000,
	grantValidityMs: 5000,
	grantExpiryMs: 6000,
	grantReturnMs: 1000,
	tickIntervalMs: 100,
	prefetchMs: 500,
	refillPauseMs: 50,
	reportIntervalMs: 500,
	callTimeoutMs: 200,
	rebalanceIntervalMs: 1000,
};
