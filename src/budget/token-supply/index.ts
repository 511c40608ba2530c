/** Fetches tokens for the requests of one instance: at once from its own parts, and from other instances. */

import type {Clock} from '../../clock/clock/index.js';
import type {MonotonicMs, OrganisationId} from '../../identity/ids/index.js';
import type {BudgetAccount} from '../budget-account/index.js';
import type {BudgetExchanger} from '../budget-exchanger/index.js';
import type {BudgetHolder, Charge} from '../budget-holder/index.js';
import type {BudgetOwner} from '../budget-owner/index.js';
import type {BudgetTimings} from '../budget-timings/index.js';

/** Options of `TokenSupply`. */
export type TokenSupplyOptions = {
	readonly clock: Clock;
	readonly timings: BudgetTimings;
	readonly owner: BudgetOwner;
	readonly holder: BudgetHolder;
	readonly exchanger: BudgetExchanger;
	/** Aborts when the instance stops. */
	readonly signal: AbortSignal;
	/** Called when waiting requests of the organisation may be served. */
	readonly onTokensAvailable: (organisation: OrganisationId) => void;
};

/** Supplies accounts with tokens. */
export class TokenSupply {
	constructor(private readonly options: TokenSupplyOptions) {}

	/** Charges all of `tokens` or nothing. */
	charge(account: BudgetAccount, tokens: number, now: MonotonicMs): Charge | undefined {
		const {holder, exchanger, timings} = this.options;
		const missingTokens = tokens - holder.countAvailable(account.id, now);
		if (missingTokens > 0) {
			exchanger.acquireLocalTokens(account.id, missingTokens, now);
		}

		const holdMs = Math.min(timings.grantValidityMs, account.maximumHoldMs);
		return holder.charge(account.id, tokens, now, holdMs);
	}

	/** Fetches tokens until the queue is served and enough grants are prefetched, pausing while the fleet is short of tokens. */
	async refill(account: BudgetAccount): Promise<void> {
		const {
			clock, exchanger, timings, signal, onTokensAvailable,
		} = this.options;
		if (account.isRefilling) {
			return;
		}

		account.isRefilling = true;
		for (;;) {
			const tokensToRequest = this.calculateTokensToRequest(account, clock.readMonotonic());
			if (tokensToRequest <= 0 || signal.aborted) {
				break;
			}

			const pulledTokens = await exchanger.pullTokens(account.id, tokensToRequest);
			onTokensAvailable(account.id);
			// Asks again at once only if at least half was granted, so that an organisation over its rate causes few messages.
			if (pulledTokens < tokensToRequest / 2) {
				account.recordScarcity(clock.readMonotonic());
				await clock.sleep(timings.refillPauseMs, signal);
				onTokensAvailable(account.id);
			}
		}

		account.isRefilling = false;
	}

	private calculateTokensToRequest(account: BudgetAccount, now: MonotonicMs): number {
		const {owner, holder, exchanger, timings} = this.options;
		const ownLevel = exchanger.isCoordinator(account.id, now) ? owner.readLevel(account.id, now) : 0;
		return account.calculateTokensToRequest(holder.countAvailable(account.id, now) + ownLevel, now, timings.prefetchMs);
	}
}
