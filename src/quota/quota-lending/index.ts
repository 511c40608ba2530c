/**
 * Quotas over all instances: each has an equal share of every quota and borrows from others what its
 * own callers need beyond that.
 *
 * Load pattern: callers spread unevenly over instances, and one organisation sends several times its
 * rate. Within the rate a call is admitted wherever it arrives; beyond it all shares are empty and
 * calls are refused after one failed round of borrowing, without asking again for a moment.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {InstanceId, MonotonicMs, OrganisationId} from '../../identity/ids/index.js';
import type {QuotaGate} from '../../forwarding/forwarding-context/index.js';
import type {PeerCaller, PeerMethodRegistry} from '../../peers/peer-caller/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import type {CallerOrganisation, TokenQuota} from '../../routing/routing-types/index.js';
import {QuotaShare, type ShareSize} from '../quota-share/index.js';

/** JSON-RPC method by which an instance asks another for tokens. */
export const borrowMethod = 'quota.borrow';
const borrowTimeoutMs = 60;
/** Instances asked for tokens for one call. */
const maximumLenders = 7;
/** Time after a failed round in which no other instance is asked again, in milliseconds. */
const dryMs = 100;
/** Part of the extra tokens that is added to the burst; the rest covers calls larger than the burst of a share. */
const extraShare = 0.6;
/** Part of the extra tokens with which all shares together start, so that calls after a restart of all instances need not wait for the first tokens. */
const startShare = 0.25;
const msPerSecond = 1000;

/** What lending needs. */
export type QuotaLendingOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly caller: PeerCaller;
	readonly registry: PeerMethodRegistry;
	/** Instances that may have a share now, this one included; more than there are wastes quota, fewer would exceed it. */
	readonly countInstances: () => number;
	readonly listPeers: () => readonly InstanceId[];
	/** Tolerance that is granted on each quota. */
	readonly tolerance: QuotaTolerance;
};

/** Tolerance on a quota: a part of rate and burst, and tokens in any window. */
export type QuotaTolerance = {readonly ratio: number; readonly extraTokens: number};

type ShareRecord = {readonly share: QuotaShare; quota: TokenQuota; instances: number; dryUntil: number};
type BorrowRequest = {readonly organisation: OrganisationId; readonly tokens: number};

/** Shares of all organisations at this instance. */
export class QuotaLending implements QuotaGate {
	private readonly records = new Map<OrganisationId, ShareRecord>();

	constructor(private readonly options: QuotaLendingOptions) {
		options.registry.register(borrowMethod, async parameters => this.lend(parameters as BorrowRequest));
	}

	/** Takes over the quotas of a new configuration; shares of organisations that have none any more end. */
	apply(organisations: readonly CallerOrganisation[]): void {
		const now = this.options.clock.readMonotonic();
		const limited = new Set<OrganisationId>();
		for (const organisation of organisations) {
			if (organisation.quota !== undefined) {
				limited.add(organisation.id);
				this.open(organisation.id, organisation.quota, now);
			}
		}

		for (const id of this.records.keys()) {
			if (!limited.has(id)) {
				this.records.delete(id);
			}
		}
	}

	async charge(organisation: CallerOrganisation, tokens: number): Promise<boolean> {
		const {quota} = organisation;
		if (quota === undefined) {
			return true;
		}

		const now = this.options.clock.readMonotonic();
		const record = this.open(organisation.id, quota, now);
		if (record.share.charge(tokens, now)) {
			return true;
		}

		if (now >= record.dryUntil) {
			await this.borrow(organisation.id, record, tokens);
		}

		const later = this.options.clock.readMonotonic();
		return record.share.charge(tokens, later) || record.share.overdraw(tokens, later);
	}

	refund(organisation: CallerOrganisation, tokens: number): void {
		this.records.get(organisation.id)?.share.receive(tokens, this.options.clock.readMonotonic());
	}

	dump(): unknown {
		const now = this.options.clock.readMonotonic();
		return [...this.records].map(([organisation, {share, quota, instances}]) => ({
			organisation, instances, tokensPerSecond: quota.tokensPerSecond, level: -share.measureShortage(0, now),
		}));
	}

	/** Asks a few instances one after the other until the shortage is covered. */
	private async borrow(organisation: OrganisationId, record: ShareRecord, tokens: number): Promise<void> {
		const {clock, random, caller, listPeers} = this.options;
		for (const peer of random.pickSome(listPeers(), maximumLenders)) {
			const shortage = record.share.measureShortage(tokens, clock.readMonotonic());
			if (shortage === 0) {
				return;
			}

			try {
				const lent = await caller.call<number>(peer, borrowMethod, {organisation, tokens: shortage}, borrowTimeoutMs);
				record.share.receive(lent, clock.readMonotonic());
			} catch {
				// Tokens of a lost answer are destroyed; the next instance may still have some.
			}
		}

		const now = clock.readMonotonic();
		if (record.share.measureShortage(tokens, now) > 0) {
			record.dryUntil = now + dryMs;
		}
	}

	private lend({organisation, tokens}: BorrowRequest): number {
		const record = this.records.get(organisation);
		return record === undefined || !(tokens > 0) ? 0 : record.share.lend(tokens, this.options.clock.readMonotonic());
	}

	private open(id: OrganisationId, quota: TokenQuota, now: MonotonicMs): ShareRecord {
		const instances = Math.max(1, this.options.countInstances());
		let record = this.records.get(id);
		if (record === undefined) {
			const level = this.options.tolerance.extraTokens * startShare / instances;
			record = {
				share: new QuotaShare(this.divideQuota(quota, instances), now, level), quota, instances, dryUntil: 0,
			};
			this.records.set(id, record);
		} else if (record.instances !== instances || !equalsQuota(record.quota, quota)) {
			record.share.resize(this.divideQuota(quota, instances), now);
			record.quota = quota;
			record.instances = instances;
		}

		return record;
	}

	private divideQuota({tokensPerSecond, burstTokens}: TokenQuota, instances: number): ShareSize {
		const {ratio, extraTokens} = this.options.tolerance;
		const factor = (1 + ratio) / instances;
		return {
			tokensPerMs: tokensPerSecond / msPerSecond * factor,
			burstTokens: (burstTokens * factor) + (extraTokens * extraShare / instances),
		};
	}
}

function equalsQuota(a: TokenQuota, b: TokenQuota): boolean {
	return a.tokensPerSecond === b.tokensPerSecond && a.burstTokens === b.burstTokens;
}
