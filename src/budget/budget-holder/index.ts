/**
 * Holder of lots: tokens granted to this instance for a few seconds. Charges are taken from lots;
 * a coordinator also relays pieces of its lots to other instances. Validity is checked at each use.
 *
 * A charge is held first, so that its unused remainder can return to the lots, and counts as spent
 * when it is settled or has been held for long enough. What was reported as spent never returns,
 * because the owner may have earned those tokens again since.
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
	readonly receivedAt: MonotonicMs;
	readonly expiresAt: MonotonicMs;
	/** Charged and not settled, or relayed and not reported. */
	held: number;
	spent: number;
	returned: number;
};

type Piece = {readonly lot: Lot; readonly tokens: number};
type Relay = {readonly lot: Lot; readonly tokens: number; spent: number; returned: number};

/** Tokens charged for one request. */
export type Charge = {readonly pieces: readonly Piece[]; readonly spentAt: MonotonicMs; isOpen: boolean};

/** What a holder needs. */
export type BudgetHolderOptions = {
	readonly incarnation: Incarnation;
	readonly timings: BudgetTimings;
	readonly invariants: InvariantChecker;
};

/** Part of a lot's validity that a relayed piece keeps, for clocks that differ. */
const relayedValidity = 0.98;
/** Free tokens below this are rounding. */
const smallestPiece = 1e-6;

/** Lots of one instance. */
export class BudgetHolder {
	private readonly lots = new Map<OrganisationId, Lot[]>();
	/** Lots whose totals the granter does not know, by granter and by id. */
	private readonly unreported = new Map<InstanceId, Map<string, Lot>>();
	private readonly relays = new Map<string, Relay>();
	private openCharges: Charge[] = [];
	private relayCount = 0;

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
		return this.listValid(organisation, now).reduce((sum, lot) => sum + countFree(lot), 0);
	}

	/** Charges all of `tokens` or nothing. The charge counts as spent after `holdMs` at the latest. */
	charge(organisation: OrganisationId, tokens: number, now: MonotonicMs, holdMs: number): Charge | undefined {
		const lots = this.listValid(organisation, now);
		if (!isAtMost(tokens, lots.reduce((sum, lot) => sum + countFree(lot), 0))) {
			return undefined;
		}

		const charge: Charge = {pieces: this.takePieces(lots, tokens), spentAt: now + holdMs as MonotonicMs, isOpen: true};
		this.openCharges.push(charge);
		return charge;
	}

	/** Ends a charge of which `usedTokens` were used; the rest is free again. Has no effect once the charge counts as spent. */
	settle(charge: Charge, usedTokens: number): void {
		if (!charge.isOpen) {
			return;
		}

		charge.isOpen = false;
		let used = usedTokens;
		for (const {lot, tokens} of charge.pieces) {
			const spent = Math.min(Math.max(0, used), tokens);
			used -= spent;
			lot.held -= tokens;
			lot.spent += spent;
			this.noteChange(lot);
		}
	}

	/** Relays up to `tokens` to another instance as grants of this one. */
	relay(organisation: OrganisationId, tokens: number, now: MonotonicMs): Grant[] {
		const lots = this.listValid(organisation, now).filter(lot => lot.expiresAt - now > this.options.timings.returnMs);
		return this.takePieces(lots, tokens).map(piece => {
			this.relayCount += 1;
			const id = `${this.options.incarnation}:r${this.relayCount}`;
			this.relays.set(id, {...piece, spent: 0, returned: 0});
			return {
				id, organisation, tokens: piece.tokens, validMs: (piece.lot.expiresAt - now) * relayedValidity,
			};
		});
	}

	/** Applies reports on relayed pieces. */
	applyReports(reports: readonly GrantReport[], now: MonotonicMs): void {
		for (const report of reports) {
			const relay = this.relays.get(report.grant);
			if (relay !== undefined && relay.lot.expiresAt > now) {
				this.applyReport(relay, report);
			}
		}
	}

	/** Ends charges that were held for long enough, and drops expired lots. */
	expire(now: MonotonicMs): void {
		for (const charge of this.openCharges) {
			if (charge.isOpen && charge.spentAt <= now) {
				this.settle(charge, Number.POSITIVE_INFINITY);
			}
		}

		this.openCharges = this.openCharges.filter(charge => charge.isOpen);
		for (const [organisation, lots] of this.lots) {
			const valid = lots.filter(lot => lot.expiresAt > now && !this.isDone(lot));
			if (valid.length === 0) {
				this.lots.delete(organisation);
			} else {
				this.lots.set(organisation, valid);
			}
		}

		for (const lots of this.unreported.values()) {
			for (const [id, lot] of lots) {
				if (lot.expiresAt <= now) {
					lots.delete(id);
				}
			}
		}

		for (const [id, relay] of this.relays) {
			if (relay.lot.expiresAt <= now || relay.spent + relay.returned >= relay.tokens) {
				this.relays.delete(id);
			}
		}
	}

	/** Returns free tokens: all of lots that end soon, and what exceeds `keep` of lots that are older or, in a shortage, of all. */
	returnSurplus(organisation: OrganisationId, keep: number, now: MonotonicMs, isScarce: boolean): void {
		const {returnMs} = this.options.timings;
		const lots = this.listValid(organisation, now);
		let surplus = lots.reduce((sum, lot) => sum + countFree(lot), 0) - keep;
		for (const lot of lots) {
			const isEnding = lot.expiresAt - now <= returnMs;
			const isOld = isScarce || now - lot.receivedAt >= returnMs;
			const returned = isEnding ? countFree(lot) : Math.min(countFree(lot), isOld ? surplus : 0);
			if (returned > 0) {
				lot.returned += returned;
				surplus -= returned;
				this.noteChange(lot);
			}
		}
	}

	/** Returns all free tokens. */
	returnAll(organisation: OrganisationId, now: MonotonicMs): void {
		for (const lot of this.listValid(organisation, now)) {
			lot.returned += countFree(lot);
			this.noteChange(lot);
		}
	}

	/** Running totals of `granter`'s lots that changed since they were last acknowledged. */
	collectReports(granter: InstanceId): GrantReport[] {
		const lots = this.unreported.get(granter)?.values() ?? [];
		return [...lots].map(lot => ({grant: lot.id, spent: lot.spent, returned: lot.returned}));
	}

	/** Notes that `granter` has applied `reports`. */
	acknowledgeReports(granter: InstanceId, reports: readonly GrantReport[]): void {
		const lots = this.unreported.get(granter);
		for (const report of reports) {
			const lot = lots?.get(report.grant);
			if (lot?.spent === report.spent && lot.returned === report.returned) {
				lots?.delete(report.grant);
			}
		}
	}

	/** Instances with unacknowledged reports. */
	listReportedTo(): InstanceId[] {
		return [...this.unreported].flatMap(([granter, lots]) => lots.size > 0 ? [granter] : []);
	}

	listOrganisations(): OrganisationId[] {
		return [...this.lots.keys()];
	}

	/** Lots by organisation, for people. */
	dump(now: MonotonicMs): unknown {
		const organisations = [...this.lots].map(([id, lots]) => ({
			id, lots: lots.length, available: this.countAvailable(id, now), held: lots.reduce((sum, lot) => sum + lot.held, 0),
		}));
		return {organisations, relayedGrants: this.relays.size, openCharges: this.openCharges.length};
	}

	private listValid(organisation: OrganisationId, now: MonotonicMs): Lot[] {
		return (this.lots.get(organisation) ?? []).filter(lot => lot.expiresAt > now);
	}

	private takePieces(lots: readonly Lot[], tokens: number): Piece[] {
		const pieces: Piece[] = [];
		let missing = tokens;
		// Lots that end first go first.
		for (const lot of lots.toSorted((a, b) => a.expiresAt - b.expiresAt)) {
			const taken = Math.min(missing, countFree(lot));
			if (taken > 0) {
				lot.held += taken;
				missing -= taken;
				pieces.push({lot, tokens: taken});
				this.check(lot);
			}
		}

		return pieces;
	}

	private applyReport(relay: Relay, report: GrantReport): void {
		const spent = Math.max(relay.spent, report.spent);
		const returned = Math.max(relay.returned, report.returned);
		const isPossible = isAtMost(spent + returned, relay.tokens);
		this.options.invariants.check('reportOverGrant', isPossible, `${report.grant}: spent ${spent}, returned ${returned}, granted ${relay.tokens}`);
		if (isPossible) {
			// Cuts the rounding that the check allows, which would otherwise add up in the lot.
			const newlySpent = Math.min(spent, relay.tokens - relay.returned) - relay.spent;
			const newlyReturned = Math.min(returned, relay.tokens - relay.spent - newlySpent) - relay.returned;
			relay.lot.held -= newlySpent + newlyReturned;
			relay.lot.spent += newlySpent;
			relay.spent += newlySpent;
			relay.returned += newlyReturned;
			this.noteChange(relay.lot);
		}
	}

	/** Whether nothing of the lot is left and the granter knows it. */
	private isDone(lot: Lot): boolean {
		return countFree(lot) <= 0 && lot.held <= 0 && !this.unreported.get(lot.granter)?.has(lot.id);
	}

	private noteChange(lot: Lot): void {
		const lots = this.unreported.get(lot.granter) ?? new Map<string, Lot>();
		this.unreported.set(lot.granter, lots.set(lot.id, lot));
		this.check(lot);
	}

	private check(lot: Lot): void {
		const {invariants} = this.options;
		const smallest = Math.min(lot.held, lot.spent, lot.returned);
		invariants.check('negativeTokens', isAtMost(0, smallest), `lot ${lot.id}: ${smallest}`);
		invariants.check('lotOverspent', isAtMost(lot.held + lot.spent + lot.returned, lot.tokens), `lot ${lot.id} of ${lot.tokens}`);
	}
}

function countFree(lot: Lot): number {
	const free = lot.tokens - lot.held - lot.spent - lot.returned;
	return free < smallestPiece ? 0 : free;
}
