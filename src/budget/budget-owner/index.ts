/**
 * Grants tokens from the budget parts that this instance owns and accounts for them. Its state is kept
 * in memory only. Whether the instance owns a part is decided by its lease and the ledger.
 */

import type {ResolvedOrganisation} from '../../configuration/configuration/index.js';
import type {Incarnation, MonotonicMs, OrganisationId} from '../../identity/ids/index.js';
import type {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import {isAtMost} from '../is-at-most/index.js';
import type {Grant, GrantReport} from '../budget-exchange/index.js';
import {chooseSlot, type PartHandover} from '../budget-ledger/index.js';
import {partsPerSlot, type BudgetTimings} from '../budget-timings/index.js';
import {TokenBucket, type BucketSize} from '../token-bucket/index.js';

/** A part that this instance owns. */
export type OwnedPart = {
	readonly slot: number;
	/** The buckets do not refill before this time, because grants of an earlier owner may still be valid. */
	readonly usableAt: MonotonicMs;
	/** Initial level of every organisation of the first configuration, and outstanding grants of the earlier owner, as shares of the part's burst. */
	readonly start: PartHandover;
	readonly buckets: Map<OrganisationId, TokenBucket>;
};

/** A configured organisation, since when it is, and whether it was in the first configuration. */
type ConfiguredOrganisation = {readonly organisation: ResolvedOrganisation; readonly since: MonotonicMs; readonly isInitial: boolean};
type OutstandingGrant = {readonly bucket: TokenBucket; readonly tokens: number; readonly expiresAt: MonotonicMs; spent: number; returned: number};

/** Maximum time for which instances may have different sets of organisations configured. */
const maximumConfigurationSkewMs = 60_000;

/** Options of `BudgetOwner`. */
export type BudgetOwnerOptions = {
	readonly incarnation: Incarnation;
	readonly timings: BudgetTimings;
	readonly invariants: InvariantChecker;
};

/** Buckets and outstanding grants of the owned parts. */
export class BudgetOwner {
	private readonly parts = new Map<number, OwnedPart>();
	private readonly organisations = new Map<OrganisationId, ConfiguredOrganisation>();
	private readonly outstandingGrants = new Map<string, OutstandingGrant>();
	private hasConfiguration = false;
	private grantCount = 0;

	constructor(private readonly options: BudgetOwnerOptions) {}

	/** Adds a part of the ledger that this instance now owns. */
	addPart(partNumber: number, ownership: Omit<OwnedPart, 'buckets'>, now: MonotonicMs): void {
		const part: OwnedPart = {...ownership, buckets: new Map()};
		this.parts.set(partNumber, part);
		for (const configured of this.organisations.values()) {
			if (chooseSlot(configured.organisation.id) === part.slot) {
				this.openBucket(part, configured, now);
			}
		}
	}

	/** Creates the state of a part for its next owner. The part must not be used afterwards. */
	createHandover(partNumber: number, now: MonotonicMs): PartHandover {
		const part = this.parts.get(partNumber);
		if (part === undefined || part.usableAt > now) {
			return {level: 0, outstanding: 1};
		}

		const buckets = [...part.buckets.values()];
		// An organisation that is not configured here yet may have had a lower level when this instance took over the part.
		const unconfiguredBounds = now - part.usableAt < maximumConfigurationSkewMs ? part.start : {level: 1, outstanding: 0};
		return {
			level: Math.min(unconfiguredBounds.level, ...buckets.map(bucket => bucket.readLevelShare(now))),
			outstanding: Math.max(unconfiguredBounds.outstanding, ...buckets.map(bucket => bucket.readOutstandingShare())),
		};
	}

	/** Stops using a part. Its grants stay valid, and the next owner waits until they have expired. */
	removePart(partNumber: number): void {
		this.parts.delete(partNumber);
	}

	clearParts(): void {
		this.parts.clear();
	}

	hasPart(partNumber: number): boolean {
		return this.parts.has(partNumber);
	}

	listParts(): number[] {
		return [...this.parts.keys()];
	}

	/**
	 * Applies the configured organisations. Those of the first configuration may start with a full burst.
	 * Organisations that are added later, including those joined from several fleets, start empty, so that
	 * a change of the configuration never adds tokens.
	 */
	applyOrganisations(organisations: readonly ResolvedOrganisation[], now: MonotonicMs): void {
		const isInitial = !this.hasConfiguration;
		const configuredIds = new Set(organisations.map(organisation => organisation.id));
		for (const id of this.organisations.keys()) {
			if (!configuredIds.has(id)) {
				this.removeOrganisation(id, now);
			}
		}

		for (const organisation of organisations) {
			const configured = this.organisations.get(organisation.id);
			const updated = {organisation, since: configured?.since ?? now, isInitial: configured?.isInitial ?? isInitial};
			this.organisations.set(organisation.id, updated);
			const slot = chooseSlot(organisation.id);
			for (const part of this.parts.values()) {
				if (part.slot === slot) {
					this.openBucket(part, updated, now).resize(calculateBucketSize(organisation), now);
				}
			}
		}

		this.hasConfiguration = true;
	}

	/** Grants up to `tokens` from the fullest parts first, so that no part stays full while others are empty. */
	grant(id: OrganisationId, tokens: number, now: MonotonicMs): Grant[] {
		const buckets = this.listBuckets(id).toSorted((a, b) => b.readLevel(now) - a.readLevel(now));
		const grants: Grant[] = [];
		let missingTokens = tokens;
		for (const bucket of buckets) {
			const granted = missingTokens > 0 ? bucket.grant(missingTokens, now) : 0;
			if (granted > 0) {
				missingTokens -= granted;
				grants.push(this.recordGrant(id, bucket, granted, now));
			}
		}

		return grants;
	}

	/** Applies cumulative totals. Totals lower than the known ones come from a late report and are ignored. */
	applyReports(reports: readonly GrantReport[], now: MonotonicMs): void {
		this.expireGrants(now);
		for (const report of reports) {
			const grant = this.outstandingGrants.get(report.grant);
			if (grant !== undefined) {
				this.applyReport(grant, report, now);
			}
		}
	}

	/** Counts the remaining tokens of expired grants as spent. */
	expireGrants(now: MonotonicMs): void {
		for (const [id, grant] of this.outstandingGrants) {
			if (grant.expiresAt > now) {
				return;
			}

			this.outstandingGrants.delete(id);
			grant.bucket.spend(grant.tokens - grant.spent - grant.returned, now);
		}
	}

	/** Tokens that could be granted at `now`. */
	readLevel(id: OrganisationId, now: MonotonicMs): number {
		return this.listBuckets(id).reduce((sum, bucket) => sum + bucket.readLevel(now), 0);
	}

	/** Diagnostic dump by part and organisation. */
	dump(now: MonotonicMs): unknown {
		const parts = [...this.parts].map(([partNumber, part]) => ({
			part: partNumber, slot: part.slot, usableInMs: Math.max(0, part.usableAt - now),
			organisations: [...part.buckets].map(([id, bucket]) => ({id, level: bucket.readLevel(now), outstanding: bucket.readOutstanding()})),
		}));
		return {parts, outstandingGrants: this.outstandingGrants.size};
	}

	private listBuckets(id: OrganisationId): TokenBucket[] {
		const configured = this.organisations.get(id);
		if (configured === undefined) {
			return [];
		}

		const slot = chooseSlot(id);
		const parts = [...this.parts.values()].filter(part => part.slot === slot);
		return parts.flatMap(part => part.buckets.get(id) ?? []);
	}

	private openBucket(part: OwnedPart, configured: ConfiguredOrganisation, now: MonotonicMs): TokenBucket {
		let bucket = part.buckets.get(configured.organisation.id);
		if (bucket === undefined) {
			const size = calculateBucketSize(configured.organisation);
			const since = Math.max(part.usableAt, configured.since) as MonotonicMs;
			const outstanding = part.start.outstanding * size.burst;
			const level = configured.isInitial ? part.start.level * size.burst : 0;
			bucket = new TokenBucket(size, {since, level, outstanding}, this.options.invariants);
			part.buckets.set(configured.organisation.id, bucket);
			if (outstanding > 0) {
				this.recordGrant(configured.organisation.id, bucket, outstanding, now);
			}
		}

		return bucket;
	}

	private recordGrant(id: OrganisationId, bucket: TokenBucket, tokens: number, now: MonotonicMs): Grant {
		const {incarnation, timings} = this.options;
		this.grantCount += 1;
		const grant = {
			id: `${incarnation}:${this.grantCount}`, organisation: id, tokens, validMs: timings.grantValidityMs,
		};
		this.outstandingGrants.set(grant.id, {
			bucket, tokens, expiresAt: now + timings.grantExpiryMs as MonotonicMs, spent: 0, returned: 0,
		});
		return grant;
	}

	private applyReport(grant: OutstandingGrant, report: GrantReport, now: MonotonicMs): void {
		const spent = Math.max(grant.spent, report.spent);
		const returned = Math.max(grant.returned, report.returned);
		const isWithinGrant = isAtMost(spent + returned, grant.tokens);
		this.options.invariants.check('reportOverGrant', isWithinGrant, `${report.grant}: spent ${spent}, returned ${returned}, granted ${grant.tokens}`);
		if (!isWithinGrant) {
			return;
		}

		// Removes the rounding error that the check tolerates, which would otherwise accumulate in the bucket.
		const newlySpent = Math.min(spent, grant.tokens - grant.returned) - grant.spent;
		const newlyReturned = Math.min(returned, grant.tokens - grant.spent - newlySpent) - grant.returned;
		grant.spent += newlySpent;
		grant.returned += newlyReturned;
		grant.bucket.spend(newlySpent, now);
		grant.bucket.return(newlyReturned, now);
	}

	/** Keeps the buckets and their outstanding grants, so that an organisation that is added again starts empty. */
	private removeOrganisation(id: OrganisationId, now: MonotonicMs): void {
		this.organisations.delete(id);
		for (const part of this.parts.values()) {
			part.buckets.get(id)?.resize({tokensPerMs: 0, burst: 0}, now);
		}
	}
}

function calculateBucketSize(organisation: ResolvedOrganisation): BucketSize {
	return {tokensPerMs: organisation.tokensPerSecond / 1000 / partsPerSlot, burst: organisation.burstTokens / partsPerSlot};
}
