/**
 * Owner of budget parts: grants tokens of its parts and accounts for them. What it knows lives in
 * memory only; whether it owns a part is decided by lease and ledger.
 */

import type {ResolvedOrganisation} from '../../configuration/configuration/index.js';
import type {Incarnation, MonotonicMs, OrganisationId} from '../../identity/ids/index.js';
import type {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import {isAtMost} from '../is-at-most/index.js';
import type {Grant, GrantReport} from '../budget-exchange/index.js';
import {chooseSlot, type PartHandover} from '../budget-ledger/index.js';
import {partCount, type BudgetTimings} from '../budget-timings/index.js';
import {TokenBucket, type BucketSize} from '../token-bucket/index.js';

/** A part that this instance owns. */
export type OwnedPart = {
	readonly slot: number;
	/** Nothing is earned before: grants of an earlier owner may still be valid until then. */
	readonly usableAt: MonotonicMs;
	/** Level that every organisation of the first configuration starts with, and grants of the earlier owner, as shares of the part's burst. */
	readonly start: PartHandover;
	readonly buckets: Map<OrganisationId, TokenBucket>;
};

type KnownOrganisation = {readonly organisation: ResolvedOrganisation; readonly since: MonotonicMs; readonly isInitial: boolean};
type Outstanding = {readonly bucket: TokenBucket; readonly tokens: number; readonly expiresAt: MonotonicMs; spent: number; returned: number};

/** Longest time in which instances may disagree about which organisations there are. */
const unknownOrganisationMs = 60_000;

/** What an owner needs. */
export type BudgetOwnerOptions = {
	readonly incarnation: Incarnation;
	readonly timings: BudgetTimings;
	readonly invariants: InvariantChecker;
};

/** Buckets and outstanding grants of the owned parts. */
export class BudgetOwner {
	private readonly parts = new Map<number, OwnedPart>();
	private readonly organisations = new Map<OrganisationId, KnownOrganisation>();
	private readonly outstanding = new Map<string, Outstanding>();
	private hasConfiguration = false;
	private grants = 0;

	constructor(private readonly options: BudgetOwnerOptions) {}

	/** Begins to own the part `number` of the ledger. */
	addPart(number: number, start: Omit<OwnedPart, 'buckets'>, now: MonotonicMs): void {
		const part: OwnedPart = {...start, buckets: new Map()};
		this.parts.set(number, part);
		for (const known of this.organisations.values()) {
			if (chooseSlot(known.organisation.id) === part.slot) {
				this.openBucket(part, known, now);
			}
		}
	}

	/** State of a part for its next owner; the part must not be used any more after this. */
	describePart(number: number, now: MonotonicMs): PartHandover {
		const part = this.parts.get(number);
		if (part === undefined || part.usableAt > now) {
			return {level: 0, outstanding: 1};
		}

		const buckets = [...part.buckets.values()];
		// An organisation that is not known here yet may have had less when the part came.
		const unknown = now - part.usableAt < unknownOrganisationMs ? part.start : {level: 1, outstanding: 0};
		return {
			level: Math.min(unknown.level, ...buckets.map(bucket => bucket.readLevelShare(now))),
			outstanding: Math.max(unknown.outstanding, ...buckets.map(bucket => bucket.readOutstandingShare())),
		};
	}

	/** Stops using a part. Its grants stay valid; the next owner waits for their end. */
	removePart(number: number): void {
		this.parts.delete(number);
	}

	clearParts(): void {
		this.parts.clear();
	}

	hasPart(number: number): boolean {
		return this.parts.has(number);
	}

	listParts(): number[] {
		return [...this.parts.keys()];
	}

	/**
	 * Applies the organisations in force. Those of the first configuration may start with a full
	 * burst; later ones, joined ones among them, start empty, so that a change never adds tokens.
	 */
	applyOrganisations(organisations: readonly ResolvedOrganisation[], now: MonotonicMs): void {
		const isInitial = !this.hasConfiguration;
		const present = new Set(organisations.map(organisation => organisation.id));
		for (const id of this.organisations.keys()) {
			if (!present.has(id)) {
				this.removeOrganisation(id, now);
			}
		}

		for (const organisation of organisations) {
			const known = this.organisations.get(organisation.id);
			const next = {organisation, since: known?.since ?? now, isInitial: known?.isInitial ?? isInitial};
			this.organisations.set(organisation.id, next);
			const slot = chooseSlot(organisation.id);
			for (const part of this.parts.values()) {
				if (part.slot === slot) {
					this.openBucket(part, next, now).resize(calculateSize(organisation), now);
				}
			}
		}

		this.hasConfiguration = true;
	}

	/** Grants up to `tokens` from the fullest parts first, so that no part stands full while others are empty. */
	grant(id: OrganisationId, tokens: number, now: MonotonicMs): Grant[] {
		const buckets = this.listBuckets(id).toSorted((a, b) => b.readLevel(now) - a.readLevel(now));
		const grants: Grant[] = [];
		let missing = tokens;
		for (const bucket of buckets) {
			const granted = missing > 0 ? bucket.grant(missing, now) : 0;
			if (granted > 0) {
				missing -= granted;
				grants.push(this.recordGrant(id, bucket, granted, now));
			}
		}

		return grants;
	}

	/** Applies running totals. Lower totals than known are late and change nothing. */
	applyReports(reports: readonly GrantReport[], now: MonotonicMs): void {
		this.expireGrants(now);
		for (const report of reports) {
			const entry = this.outstanding.get(report.grant);
			if (entry !== undefined) {
				this.applyReport(entry, report, now);
			}
		}
	}

	/** Counts what is left of expired grants as spent. */
	expireGrants(now: MonotonicMs): void {
		for (const [id, entry] of this.outstanding) {
			if (entry.expiresAt > now) {
				return;
			}

			this.outstanding.delete(id);
			entry.bucket.spend(entry.tokens - entry.spent - entry.returned, now);
		}
	}

	/** Tokens that could be granted at `now`. */
	readLevel(id: OrganisationId, now: MonotonicMs): number {
		return this.listBuckets(id).reduce((sum, bucket) => sum + bucket.readLevel(now), 0);
	}

	/** State by part and organisation, for people. */
	dump(now: MonotonicMs): unknown {
		const parts = [...this.parts].map(([number, part]) => ({
			part: number, slot: part.slot, usableInMs: Math.max(0, part.usableAt - now),
			organisations: [...part.buckets].map(([id, bucket]) => ({id, level: bucket.readLevel(now), outstanding: bucket.readOutstanding()})),
		}));
		return {parts, outstandingGrants: this.outstanding.size};
	}

	private listBuckets(id: OrganisationId): TokenBucket[] {
		const known = this.organisations.get(id);
		if (known === undefined) {
			return [];
		}

		const slot = chooseSlot(id);
		const parts = [...this.parts.values()].filter(part => part.slot === slot);
		return parts.flatMap(part => part.buckets.get(id) ?? []);
	}

	private openBucket(part: OwnedPart, known: KnownOrganisation, now: MonotonicMs): TokenBucket {
		let bucket = part.buckets.get(known.organisation.id);
		if (bucket === undefined) {
			const size = calculateSize(known.organisation);
			const since = Math.max(part.usableAt, known.since) as MonotonicMs;
			const outstanding = part.start.outstanding * size.burst;
			const level = known.isInitial ? part.start.level * size.burst : 0;
			bucket = new TokenBucket(size, {since, level, outstanding}, this.options.invariants);
			part.buckets.set(known.organisation.id, bucket);
			if (outstanding > 0) {
				this.recordGrant(known.organisation.id, bucket, outstanding, now);
			}
		}

		return bucket;
	}

	private recordGrant(id: OrganisationId, bucket: TokenBucket, tokens: number, now: MonotonicMs): Grant {
		const {incarnation, timings} = this.options;
		this.grants += 1;
		const grant = {
			id: `${incarnation}:${this.grants}`, organisation: id, tokens, validMs: timings.grantMs,
		};
		this.outstanding.set(grant.id, {
			bucket, tokens, expiresAt: now + timings.grantExpiryMs as MonotonicMs, spent: 0, returned: 0,
		});
		return grant;
	}

	private applyReport(entry: Outstanding, report: GrantReport, now: MonotonicMs): void {
		const spent = Math.max(entry.spent, report.spent);
		const returned = Math.max(entry.returned, report.returned);
		const isPossible = isAtMost(spent + returned, entry.tokens);
		this.options.invariants.check('reportOverGrant', isPossible, `${report.grant}: spent ${spent}, returned ${returned}, granted ${entry.tokens}`);
		if (!isPossible) {
			return;
		}

		// Cuts the rounding that the check allows, which would otherwise add up in the bucket.
		const newlySpent = Math.min(spent, entry.tokens - entry.returned) - entry.spent;
		const newlyReturned = Math.min(returned, entry.tokens - entry.spent - newlySpent) - entry.returned;
		entry.spent += newlySpent;
		entry.returned += newlyReturned;
		entry.bucket.spend(newlySpent, now);
		entry.bucket.return(newlyReturned, now);
	}

	/** Keeps the buckets with their outstanding grants, so that an organisation that comes back starts empty. */
	private removeOrganisation(id: OrganisationId, now: MonotonicMs): void {
		this.organisations.delete(id);
		for (const part of this.parts.values()) {
			part.buckets.get(id)?.resize({tokensPerMs: 0, burst: 0}, now);
		}
	}
}

function calculateSize(organisation: ResolvedOrganisation): BucketSize {
	return {tokensPerMs: organisation.tokensPerSecond / 1000 / partCount, burst: organisation.burstTokens / partCount};
}
