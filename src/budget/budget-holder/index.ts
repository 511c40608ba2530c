/**
 * Manages lots, which are tokens granted to this instance for a few seconds. Charges are taken from
 * lots, and a coordinator also relays pieces of its lots to other instances. Each use checks that the
 * lot is still valid.
 *
 * A charge is held at first, so that its unused remainder can go back to the lots. Its tokens count as
 * spent once it is settled or its hold has expired. Tokens that were reported as spent are never
 * refunded, because the owner's bucket may have refilled since.
 */

import type {
	Incarnation, InstanceId, MonotonicMs, OrganisationId,
} from '../../identity/ids/index.js';
import type {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import {isAtMost} from '../is-at-most/index.js';
import type {Grant, GrantReport} from '../budget-exchange/index.js';
import type {BudgetTimings} from '../budget-timings/index.js';

type Lot = {
	readonly id: string;
	readonly granter: InstanceId;
	readonly organisation: OrganisationId;
	readonly tokens: number;
	/** When the request for the grant was sent, from which the validity counts. */
	readonly receivedAt: MonotonicMs;
	readonly expiresAt: MonotonicMs;
	/** Tokens charged but not settled, or relayed but not reported. */
	held: number;
	spent: number;
	returned: number;
};

/** Tokens taken from one lot. */
type Piece = {readonly lot: Lot; readonly tokens: number};
/** Tokens of a lot that were granted to another instance. */
type RelayedGrant = {readonly lot: Lot; readonly tokens: number; spent: number; returned: number};

/** Tokens charged for one request. */
export type Charge = {readonly pieces: readonly Piece[]; readonly holdExpiresAt: MonotonicMs; isOpen: boolean};

/** Options of `BudgetHolder`. */
export type BudgetHolderOptions = {
	readonly incarnation: Incarnation;
	readonly timings: BudgetTimings;
	readonly invariants: InvariantChecker;
};

/** Share of a lot's remaining validity that a relayed grant gets. The difference allows for clocks that run at different rates. */
const relayedValidityShare = 0.98;
/** Fewer free tokens than this are a rounding error. */
const minimumFreeTokens = 1e-6;

/** Lots of one instance. */
export class BudgetHolder {
	private readonly lots = new Map<OrganisationId, Lot[]>();
	/** Lots whose current totals the granter has not acknowledged, by granter and grant ID. */
	private readonly unreportedLots = new Map<InstanceId, Map<string, Lot>>();
	private readonly relayedGrants = new Map<string, RelayedGrant>();
	private openCharges: Charge[] = [];
	private relayedGrantCount = 0;

	constructor(private readonly options: BudgetHolderOptions) {}

	/** Adds granted tokens; `sentAt` is when this instance sent the request for them. */
	addGrant(grant: Grant, granter: InstanceId, sentAt: MonotonicMs): void {
		const lots = this.lots.get(grant.organisation) ?? [];
		this.lots.set(grant.organisation, lots);
		lots.push({
			id: grant.id, granter, organisation: grant.organisation, tokens: grant.tokens, receivedAt: sentAt,
			expiresAt: sentAt + grant.validMs as MonotonicMs, held: 0, spent: 0, returned: 0,
		});
	}

	/** Tokens that can be charged at `now`. */
	countAvailable(organisation: OrganisationId, now: MonotonicMs): number {
		return this.listValidLots(organisation, now).reduce((sum, lot) => sum + countFreeTokens(lot), 0);
	}

	/** Charges all of `tokens` or nothing. The charge counts as spent after `holdMs` at the latest. */
	charge(organisation: OrganisationId, tokens: number, now: MonotonicMs, holdMs: number): Charge | undefined {
		const lots = this.listValidLots(organisation, now);
		if (!isAtMost(tokens, lots.reduce((sum, lot) => sum + countFreeTokens(lot), 0))) {
			return undefined;
		}

		const charge: Charge = {pieces: this.reservePieces(lots, tokens), holdExpiresAt: now + holdMs as MonotonicMs, isOpen: true};
		this.openCharges.push(charge);
		return charge;
	}

	/** Settles a charge: `usedTokens` are spent, the remainder is free again. Has no effect once the charge counts as spent. */
	settle(charge: Charge, usedTokens: number): void {
		if (!charge.isOpen) {
			return;
		}

		charge.isOpen = false;
		let unassignedTokens = usedTokens;
		for (const {lot, tokens} of charge.pieces) {
			const spent = Math.min(Math.max(0, unassignedTokens), tokens);
			unassignedTokens -= spent;
			lot.held -= tokens;
			lot.spent += spent;
			this.markUnreported(lot);
		}
	}

	/** Grants up to `tokens` from this instance's lots to another instance. */
	relay(organisation: OrganisationId, tokens: number, now: MonotonicMs): Grant[] {
		const lots = this.listValidLots(organisation, now).filter(lot => lot.expiresAt - now > this.options.timings.lotReturnMs);
		return this.reservePieces(lots, tokens).map(piece => {
			this.relayedGrantCount += 1;
			const id = `${this.options.incarnation}:r${this.relayedGrantCount}`;
			this.relayedGrants.set(id, {...piece, spent: 0, returned: 0});
			return {
				id, organisation, tokens: piece.tokens, validMs: (piece.lot.expiresAt - now) * relayedValidityShare,
			};
		});
	}

	/** Applies reports on relayed grants. */
	applyReports(reports: readonly GrantReport[], now: MonotonicMs): void {
		for (const report of reports) {
			const relayedGrant = this.relayedGrants.get(report.grant);
			if (relayedGrant !== undefined && relayedGrant.lot.expiresAt > now) {
				this.applyReport(relayedGrant, report);
			}
		}
	}

	/** Counts charges whose hold has expired as spent, and drops expired lots and relayed grants. */
	expire(now: MonotonicMs): void {
		for (const charge of this.openCharges) {
			if (charge.isOpen && charge.holdExpiresAt <= now) {
				this.settle(charge, Number.POSITIVE_INFINITY);
			}
		}

		this.openCharges = this.openCharges.filter(charge => charge.isOpen);
		for (const [organisation, lots] of this.lots) {
			const validLots = lots.filter(lot => lot.expiresAt > now && !this.isFullyReported(lot));
			if (validLots.length === 0) {
				this.lots.delete(organisation);
			} else {
				this.lots.set(organisation, validLots);
			}
		}

		for (const lots of this.unreportedLots.values()) {
			for (const [id, lot] of lots) {
				if (lot.expiresAt <= now) {
					lots.delete(id);
				}
			}
		}

		for (const [id, relayedGrant] of this.relayedGrants) {
			if (relayedGrant.lot.expiresAt <= now || relayedGrant.spent + relayedGrant.returned >= relayedGrant.tokens) {
				this.relayedGrants.delete(id);
			}
		}
	}

	/**
	 * Returns free tokens to their granters: all tokens of lots that expire soon, and the surplus over
	 * `keepTokens` of lots that are at least `lotReturnMs` old or, in a shortage, of all lots.
	 */
	returnSurplus(organisation: OrganisationId, keepTokens: number, now: MonotonicMs, isScarce: boolean): void {
		const {lotReturnMs} = this.options.timings;
		const lots = this.listValidLots(organisation, now);
		let surplusTokens = lots.reduce((sum, lot) => sum + countFreeTokens(lot), 0) - keepTokens;
		for (const lot of lots) {
			const isExpiringSoon = lot.expiresAt - now <= lotReturnMs;
			const mayReturnSurplus = isScarce || now - lot.receivedAt >= lotReturnMs;
			const returned = isExpiringSoon ? countFreeTokens(lot) : Math.min(countFreeTokens(lot), mayReturnSurplus ? surplusTokens : 0);
			if (returned > 0) {
				lot.returned += returned;
				surplusTokens -= returned;
				this.markUnreported(lot);
			}
		}
	}

	/** Returns all free tokens. */
	returnAll(organisation: OrganisationId, now: MonotonicMs): void {
		for (const lot of this.listValidLots(organisation, now)) {
			lot.returned += countFreeTokens(lot);
			this.markUnreported(lot);
		}
	}

	/** Cumulative totals of `granter`'s lots that changed since it last acknowledged them. */
	collectReports(granter: InstanceId): GrantReport[] {
		const lots = this.unreportedLots.get(granter)?.values() ?? [];
		return [...lots].map(lot => ({grant: lot.id, spent: lot.spent, returned: lot.returned}));
	}

	/** Marks totals as reported that `granter` has acknowledged, unless they have changed since. */
	acknowledgeReports(granter: InstanceId, reports: readonly GrantReport[]): void {
		const lots = this.unreportedLots.get(granter);
		for (const report of reports) {
			const lot = lots?.get(report.grant);
			if (lot?.spent === report.spent && lot.returned === report.returned) {
				lots?.delete(report.grant);
			}
		}
	}

	/** Granters with unacknowledged reports. */
	listUnreportedGranters(): InstanceId[] {
		return [...this.unreportedLots].flatMap(([granter, lots]) => lots.size > 0 ? [granter] : []);
	}

	listOrganisations(): OrganisationId[] {
		return [...this.lots.keys()];
	}

	/** Diagnostic dump of the lots by organisation. */
	dump(now: MonotonicMs): unknown {
		const organisations = [...this.lots].map(([id, lots]) => ({
			id, lots: lots.length, available: this.countAvailable(id, now), held: lots.reduce((sum, lot) => sum + lot.held, 0),
		}));
		return {organisations, relayedGrants: this.relayedGrants.size, openCharges: this.openCharges.length};
	}

	private listValidLots(organisation: OrganisationId, now: MonotonicMs): Lot[] {
		return (this.lots.get(organisation) ?? []).filter(lot => lot.expiresAt > now);
	}

	private reservePieces(lots: readonly Lot[], tokens: number): Piece[] {
		const pieces: Piece[] = [];
		let missingTokens = tokens;
		// Uses the lots that expire first.
		for (const lot of lots.toSorted((a, b) => a.expiresAt - b.expiresAt)) {
			const reservedTokens = Math.min(missingTokens, countFreeTokens(lot));
			if (reservedTokens > 0) {
				lot.held += reservedTokens;
				missingTokens -= reservedTokens;
				pieces.push({lot, tokens: reservedTokens});
				this.checkInvariants(lot);
			}
		}

		return pieces;
	}

	private applyReport(relayedGrant: RelayedGrant, report: GrantReport): void {
		const spent = Math.max(relayedGrant.spent, report.spent);
		const returned = Math.max(relayedGrant.returned, report.returned);
		const isWithinGrant = isAtMost(spent + returned, relayedGrant.tokens);
		this.options.invariants.check('reportOverGrant', isWithinGrant, `${report.grant}: spent ${spent}, returned ${returned}, granted ${relayedGrant.tokens}`);
		if (isWithinGrant) {
			// Removes the rounding error that the check tolerates, which would otherwise accumulate in the lot.
			const newlySpent = Math.min(spent, relayedGrant.tokens - relayedGrant.returned) - relayedGrant.spent;
			const newlyReturned = Math.min(returned, relayedGrant.tokens - relayedGrant.spent - newlySpent) - relayedGrant.returned;
			relayedGrant.lot.held -= newlySpent + newlyReturned;
			relayedGrant.lot.spent += newlySpent;
			relayedGrant.spent += newlySpent;
			relayedGrant.returned += newlyReturned;
			this.markUnreported(relayedGrant.lot);
		}
	}

	/** Whether the lot has no tokens left and the granter has acknowledged its totals. */
	private isFullyReported(lot: Lot): boolean {
		return countFreeTokens(lot) <= 0 && lot.held <= 0 && !this.unreportedLots.get(lot.granter)?.has(lot.id);
	}

	private markUnreported(lot: Lot): void {
		const lots = this.unreportedLots.get(lot.granter) ?? new Map<string, Lot>();
		this.unreportedLots.set(lot.granter, lots.set(lot.id, lot));
		this.checkInvariants(lot);
	}

	private checkInvariants(lot: Lot): void {
		const {invariants} = this.options;
		const smallestCount = Math.min(lot.held, lot.spent, lot.returned);
		invariants.check('negativeTokens', isAtMost(0, smallestCount), `lot ${lot.id}: smallest count ${smallestCount}`);
		invariants.check('lotOverspent', isAtMost(lot.held + lot.spent + lot.returned, lot.tokens), `lot ${lot.id}: more than its ${lot.tokens} tokens are in use`);
	}
}

function countFreeTokens(lot: Lot): number {
	const free = lot.tokens - lot.held - lot.spent - lot.returned;
	return free < minimumFreeTokens ? 0 : free;
}
