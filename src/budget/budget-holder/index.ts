/**
 * Manages the grants that this instance holds: tokens that it may spend for a few seconds. Charges are
 * taken from grants, and a coordinator also relays pieces of its grants to other instances. Each use
 * checks that the grant is still valid.
 *
 * A charge is held at first, so that its unused remainder can go back to the grants. Its tokens count as
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

/** A grant that this instance holds, with what became of its tokens. */
type HeldGrant = {
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

/** Tokens taken from one grant. */
type Piece = {readonly grant: HeldGrant; readonly tokens: number};
/** Tokens of a held grant that were passed on to another instance. */
type RelayedGrant = {readonly grant: HeldGrant; readonly tokens: number; spent: number; returned: number};

/** Tokens charged for one request. */
export type Charge = {readonly pieces: readonly Piece[]; readonly holdExpiresAt: MonotonicMs; isOpen: boolean};

/** Options of `BudgetHolder`. */
export type BudgetHolderOptions = {
	readonly incarnation: Incarnation;
	readonly timings: BudgetTimings;
	readonly invariants: InvariantChecker;
};

/** Share of a grant's remaining validity that a relayed grant gets. The difference allows for clocks that run at different rates. */
const relayedValidityShare = 0.98;
/** Fewer free tokens than this are a rounding error. */
const minimumFreeTokens = 1e-6;

/** Grants that one instance holds. */
export class BudgetHolder {
	private readonly grants = new Map<OrganisationId, HeldGrant[]>();
	/** Grants whose current totals the granter has not acknowledged, by granter and grant ID. */
	private readonly unreportedGrants = new Map<InstanceId, Map<string, HeldGrant>>();
	private readonly relayedGrants = new Map<string, RelayedGrant>();
	private openCharges: Charge[] = [];
	private relayedGrantCount = 0;

	constructor(private readonly options: BudgetHolderOptions) {}

	/** Adds granted tokens; `sentAt` is when this instance sent the request for them. */
	addGrant(grant: Grant, granter: InstanceId, sentAt: MonotonicMs): void {
		const grants = this.grants.get(grant.organisation) ?? [];
		this.grants.set(grant.organisation, grants);
		grants.push({
			id: grant.id, granter, organisation: grant.organisation, tokens: grant.tokens, receivedAt: sentAt,
			expiresAt: sentAt + grant.validMs as MonotonicMs, held: 0, spent: 0, returned: 0,
		});
	}

	/** Tokens that can be charged at `now`. */
	countAvailable(organisation: OrganisationId, now: MonotonicMs): number {
		return this.listValidGrants(organisation, now).reduce((sum, grant) => sum + countFreeTokens(grant), 0);
	}

	/** Charges all of `tokens` or nothing. The charge counts as spent after `holdMs` at the latest. */
	charge(organisation: OrganisationId, tokens: number, now: MonotonicMs, holdMs: number): Charge | undefined {
		const grants = this.listValidGrants(organisation, now);
		if (!isAtMost(tokens, grants.reduce((sum, grant) => sum + countFreeTokens(grant), 0))) {
			return undefined;
		}

		const charge: Charge = {pieces: this.reservePieces(grants, tokens), holdExpiresAt: now + holdMs as MonotonicMs, isOpen: true};
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
		for (const {grant, tokens} of charge.pieces) {
			const spent = Math.min(Math.max(0, unassignedTokens), tokens);
			unassignedTokens -= spent;
			grant.held -= tokens;
			grant.spent += spent;
			this.markUnreported(grant);
		}
	}

	/** Passes up to `tokens` of this instance's grants on to another instance, as new grants. */
	relay(organisation: OrganisationId, tokens: number, now: MonotonicMs): Grant[] {
		const grants = this.listValidGrants(organisation, now).filter(grant => grant.expiresAt - now > this.options.timings.grantReturnMs);
		return this.reservePieces(grants, tokens).map(piece => {
			this.relayedGrantCount += 1;
			const id = `${this.options.incarnation}:r${this.relayedGrantCount}`;
			this.relayedGrants.set(id, {...piece, spent: 0, returned: 0});
			return {
				id, organisation, tokens: piece.tokens, validMs: (piece.grant.expiresAt - now) * relayedValidityShare,
			};
		});
	}

	/** Applies reports on relayed grants. */
	applyReports(reports: readonly GrantReport[], now: MonotonicMs): void {
		for (const report of reports) {
			const relayedGrant = this.relayedGrants.get(report.grant);
			if (relayedGrant !== undefined && relayedGrant.grant.expiresAt > now) {
				this.applyReport(relayedGrant, report);
			}
		}
	}

	/** Counts charges whose hold has expired as spent, and drops expired grants, held and relayed ones. */
	expire(now: MonotonicMs): void {
		for (const charge of this.openCharges) {
			if (charge.isOpen && charge.holdExpiresAt <= now) {
				this.settle(charge, Number.POSITIVE_INFINITY);
			}
		}

		this.openCharges = this.openCharges.filter(charge => charge.isOpen);
		for (const [organisation, grants] of this.grants) {
			const validGrants = grants.filter(grant => grant.expiresAt > now && !this.isFullyReported(grant));
			if (validGrants.length === 0) {
				this.grants.delete(organisation);
			} else {
				this.grants.set(organisation, validGrants);
			}
		}

		for (const grants of this.unreportedGrants.values()) {
			for (const [id, grant] of grants) {
				if (grant.expiresAt <= now) {
					grants.delete(id);
				}
			}
		}

		for (const [id, relayedGrant] of this.relayedGrants) {
			if (relayedGrant.grant.expiresAt <= now || relayedGrant.spent + relayedGrant.returned >= relayedGrant.tokens) {
				this.relayedGrants.delete(id);
			}
		}
	}

	/**
	 * Returns free tokens to their granters: all tokens of grants that expire soon, and the surplus over
	 * `keepTokens` of grants that are at least `grantReturnMs` old or, in a shortage, of all grants.
	 */
	returnSurplus(organisation: OrganisationId, keepTokens: number, now: MonotonicMs, isScarce: boolean): void {
		const {grantReturnMs} = this.options.timings;
		const grants = this.listValidGrants(organisation, now);
		let surplusTokens = grants.reduce((sum, grant) => sum + countFreeTokens(grant), 0) - keepTokens;
		for (const grant of grants) {
			const isExpiringSoon = grant.expiresAt - now <= grantReturnMs;
			const mayReturnSurplus = isScarce || now - grant.receivedAt >= grantReturnMs;
			const returned = isExpiringSoon ? countFreeTokens(grant) : Math.min(countFreeTokens(grant), mayReturnSurplus ? surplusTokens : 0);
			if (returned > 0) {
				grant.returned += returned;
				surplusTokens -= returned;
				this.markUnreported(grant);
			}
		}
	}

	/** Returns all free tokens. */
	returnAll(organisation: OrganisationId, now: MonotonicMs): void {
		for (const grant of this.listValidGrants(organisation, now)) {
			grant.returned += countFreeTokens(grant);
			this.markUnreported(grant);
		}
	}

	/** Cumulative totals of `granter`'s grants that changed since it last acknowledged them. */
	collectReports(granter: InstanceId): GrantReport[] {
		const grants = this.unreportedGrants.get(granter)?.values() ?? [];
		return [...grants].map(grant => ({grant: grant.id, spent: grant.spent, returned: grant.returned}));
	}

	/** Marks totals as reported that `granter` has acknowledged, unless they have changed since. */
	acknowledgeReports(granter: InstanceId, reports: readonly GrantReport[]): void {
		const grants = this.unreportedGrants.get(granter);
		for (const report of reports) {
			const grant = grants?.get(report.grant);
			if (grant?.spent === report.spent && grant.returned === report.returned) {
				grants?.delete(report.grant);
			}
		}
	}

	/** Granters with unacknowledged reports. */
	listUnreportedGranters(): InstanceId[] {
		return [...this.unreportedGrants].flatMap(([granter, grants]) => grants.size > 0 ? [granter] : []);
	}

	listOrganisations(): OrganisationId[] {
		return [...this.grants.keys()];
	}

	/** Diagnostic dump of the grants by organisation. */
	dump(now: MonotonicMs): unknown {
		const organisations = [...this.grants].map(([id, grants]) => ({
			id, lots: grants.length, available: this.countAvailable(id, now), held: grants.reduce((sum, grant) => sum + grant.held, 0),
		}));
		return {organisations, relayedGrants: this.relayedGrants.size, openCharges: this.openCharges.length};
	}

	private listValidGrants(organisation: OrganisationId, now: MonotonicMs): HeldGrant[] {
		return (this.grants.get(organisation) ?? []).filter(grant => grant.expiresAt > now);
	}

	private reservePieces(grants: readonly HeldGrant[], tokens: number): Piece[] {
		const pieces: Piece[] = [];
		let missingTokens = tokens;
		// Uses the grants that expire first.
		for (const grant of grants.toSorted((a, b) => a.expiresAt - b.expiresAt)) {
			const reservedTokens = Math.min(missingTokens, countFreeTokens(grant));
			if (reservedTokens > 0) {
				grant.held += reservedTokens;
				missingTokens -= reservedTokens;
				pieces.push({grant, tokens: reservedTokens});
				this.checkInvariants(grant);
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
			// Removes the rounding error that the check tolerates, which would otherwise accumulate in the grant.
			const newlySpent = Math.min(spent, relayedGrant.tokens - relayedGrant.returned) - relayedGrant.spent;
			const newlyReturned = Math.min(returned, relayedGrant.tokens - relayedGrant.spent - newlySpent) - relayedGrant.returned;
			relayedGrant.grant.held -= newlySpent + newlyReturned;
			relayedGrant.grant.spent += newlySpent;
			relayedGrant.spent += newlySpent;
			relayedGrant.returned += newlyReturned;
			this.markUnreported(relayedGrant.grant);
		}
	}

	/** Whether the grant has no tokens left and the granter has acknowledged its totals. */
	private isFullyReported(grant: HeldGrant): boolean {
		return countFreeTokens(grant) <= 0 && grant.held <= 0 && !this.unreportedGrants.get(grant.granter)?.has(grant.id);
	}

	private markUnreported(grant: HeldGrant): void {
		const grants = this.unreportedGrants.get(grant.granter) ?? new Map<string, HeldGrant>();
		this.unreportedGrants.set(grant.granter, grants.set(grant.id, grant));
		this.checkInvariants(grant);
	}

	private checkInvariants(grant: HeldGrant): void {
		const {invariants} = this.options;
		const smallestCount = Math.min(grant.held, grant.spent, grant.returned);
		invariants.check('negativeTokens', isAtMost(0, smallestCount), `grant ${grant.id}: smallest count ${smallestCount}`);
		invariants.check('lotOverspent', isAtMost(grant.held + grant.spent + grant.returned, grant.tokens), `grant ${grant.id}: more than its ${grant.tokens} tokens are in use`);
	}
}

function countFreeTokens(grant: HeldGrant): number {
	const free = grant.tokens - grant.held - grant.spent - grant.returned;
	return free < minimumFreeTokens ? 0 : free;
}
