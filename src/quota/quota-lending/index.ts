/**
 * Enforces token quotas across all instances. Each instance has an equal share of every quota and borrows from
 * others what its own callers need beyond that. In a large fleet, shares deposit unused tokens at the pool
 * instances of the organisation, which are asked first.
 *
 * Callers are spread unevenly over the instances, and an organisation may send several times its rate. Within the
 * rate, a call is admitted at any instance. Beyond it all shares are empty, and calls are refused after one failed
 * round of borrowing, which is followed by a short backoff.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {InstanceId, MonotonicMs, OrganisationId} from '../../identity/ids/index.js';
import type {QuotaGate} from '../../forwarding/forwarding-context/index.js';
import type {PeerCaller, PeerMethodRegistry} from '../../peers/peer-caller/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import type {DatagramTransport} from '../../peers/datagram-channel/index.js';
import type {Member} from '../../membership/member/index.js';
import type {CallerOrganisation, TokenQuota} from '../../routing/routing-types/index.js';
import {poolInstanceCount, listPoolInstances} from '../list-pool-instances/index.js';
import {QuotaShare, type ShareSize} from '../quota-share/index.js';

/** JSON-RPC method that asks another instance for tokens. */
export const borrowMethod = 'quota.borrow';
/** Message type of the datagrams that deposit tokens at a pool instance. */
export const depositMessageType = 'quota.deposit';
const borrowTimeoutMs = 60;
const depositIntervalMs = 500;
/** Fraction of the burst that is divided among the shares of a large fleet; the remainder is the capacity of the pools. */
const sharesBurstFraction = 0.3;
/** Fraction of a share's burst below which its tokens aren't worth a deposit. */
const minimumDepositFraction = 0.2;
/** Instances asked for tokens for one call if no other instance has a pool. */
const maximumLendersPerCall = 7;
/** Time after a failed round of borrowing in which no instance is asked again. */
const borrowBackoffMs = 100;
/** Fraction of the extra tokens that is added to the burst; the remainder covers calls larger than the burst of a share. */
const extraTokensBurstFraction = 0.6;
/** Fraction of the extra tokens that all shares together start with, so that calls after a restart of all instances needn't wait for a refill. */
const extraTokensInitialFraction = 0.25;
const msPerSecond = 1000;

/** Dependencies and settings of the lending. */
export type QuotaLendingOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly caller: PeerCaller;
	readonly registry: PeerMethodRegistry;
	/** Counts the instances that may have a share now, this one included. Too high a count wastes quota, too low a count exceeds it. */
	readonly countInstances: () => number;
	readonly self: InstanceId;
	/** Live instances other than this one. */
	readonly listPeers: () => readonly Member[];
	readonly channel: DatagramTransport;
	/** Tolerance granted on each quota. */
	readonly readTolerance: () => QuotaTolerance;
};

/** Tolerance on a quota: a fraction of rate and burst, and a number of extra tokens in any window. */
export type QuotaTolerance = {readonly ratio: number; readonly extraTokens: number};

type ShareRecord = {
	readonly share: QuotaShare;
	quota: TokenQuota;
	/** Number of instances that have a share of the quota. */
	instances: number;
	/** Empty in a small fleet. */
	poolInstances: readonly InstanceId[];
	borrowBackoffUntil: number;
};
type Deposit = {readonly organisation: OrganisationId; readonly tokens: number};
/** Fewer tokens than `leastTokens` are of no use to the borrower and stay with the lender. */
type BorrowRequest = {readonly organisation: OrganisationId; readonly tokens: number; readonly leastTokens: number};

/** Shares of all organisations at this instance. */
export class QuotaLending implements QuotaGate {
	private readonly records = new Map<OrganisationId, ShareRecord>();

	constructor(private readonly options: QuotaLendingOptions) {
		options.registry.register(borrowMethod, async parameters => this.lend(parameters as BorrowRequest));
		options.channel.register(depositMessageType, body => {
			this.receiveDeposit(body as Deposit);
		});
	}

	/** Deposits unused tokens at pool instances until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.options;
		while (!signal.aborted) {
			await clock.sleep(random.applyJitter(depositIntervalMs), signal);
			this.updatePoolInstances();
			this.deposit(clock.readMonotonic());
		}
	}

	/** Applies the quotas of a new configuration and deletes the shares of organisations without one. */
	apply(organisations: readonly CallerOrganisation[]): void {
		const now = this.options.clock.readMonotonic();
		const limitedIds = new Set<OrganisationId>();
		for (const organisation of organisations) {
			if (organisation.quota !== undefined) {
				limitedIds.add(organisation.id);
				this.ensureRecord(organisation.id, organisation.quota, now);
			}
		}

		for (const id of this.records.keys()) {
			if (!limitedIds.has(id)) {
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
		const record = this.ensureRecord(organisation.id, quota, now);
		if (record.share.charge(tokens, now)) {
			return true;
		}

		if (now >= record.borrowBackoffUntil) {
			await this.borrow(organisation.id, record, tokens);
		}

		const retriedAt = this.options.clock.readMonotonic();
		return record.share.charge(tokens, retriedAt) || (record.poolInstances.length === 0 && record.share.overdraw(tokens, retriedAt));
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

	/** Asks a few instances in sequence until the shortage is covered. */
	private async borrow(organisation: OrganisationId, record: ShareRecord, tokens: number): Promise<void> {
		const {clock, caller} = this.options;
		for (const peer of this.chooseLenders(record)) {
			const shortage = record.share.measureShortage(tokens, clock.readMonotonic());
			if (shortage === 0) {
				return;
			}

			const canOnePoolCover = record.poolInstances.length > 0 && shortage <= this.calculatePoolCapacity(record.quota);
			const request: BorrowRequest = {organisation, tokens: shortage, leastTokens: canOnePoolCover ? shortage : 0};
			try {
				const lent = await caller.call<number>(peer, borrowMethod, request, borrowTimeoutMs);
				record.share.receive(lent, clock.readMonotonic());
			} catch {
				// Tokens of a lost answer are lost as well; the next instance may still have some.
			}
		}

		const now = clock.readMonotonic();
		if (record.share.measureShortage(tokens, now) > 0) {
			record.borrowBackoffUntil = now + borrowBackoffMs;
		}
	}

	/** Chooses the pool instances in random order, or random instances if no other instance has a pool. */
	private chooseLenders({poolInstances}: ShareRecord): InstanceId[] {
		const {self, random, listPeers} = this.options;
		const lenders = poolInstances.filter(id => id !== self);
		return lenders.length > 0 ? random.pickSome(lenders, lenders.length) : random.pickSome(listPeers().map(peer => peer.id), maximumLendersPerCall);
	}

	private updatePoolInstances(): void {
		const {self, listPeers, clock} = this.options;
		const liveIds = [self, ...listPeers().filter(peer => peer.state === 'live').map(peer => peer.id)];
		for (const [organisation, record] of this.records) {
			record.poolInstances = listPoolInstances(organisation, liveIds);
			record.share.resize(this.calculateShareSize(record), clock.readMonotonic());
		}
	}

	private deposit(now: MonotonicMs): void {
		const {self, random, listPeers, channel} = this.options;
		const addresses = new Map(listPeers().map(peer => [peer.id, peer.peerAddress]));
		for (const [organisation, record] of this.records) {
			const {share, poolInstances} = record;
			const receiver = random.pickSome(poolInstances, 1)[0];
			const address = receiver === undefined ? undefined : addresses.get(receiver);
			const {burstTokens} = this.calculateShareSize(record);
			if (address === undefined || poolInstances.includes(self) || share.readLevel(now) < burstTokens * minimumDepositFraction) {
				continue;
			}

			const deposit: Deposit = {organisation, tokens: share.withdrawSurplus(0, now)};
			channel.send([address], depositMessageType, deposit);
		}
	}

	private receiveDeposit({organisation, tokens}: Deposit): void {
		if (tokens > 0) {
			this.records.get(organisation)?.share.deposit(tokens, this.options.clock.readMonotonic());
		}
	}

	private lend({organisation, tokens, leastTokens}: BorrowRequest): number {
		const now = this.options.clock.readMonotonic();
		const record = this.records.get(organisation);
		return record === undefined || !(tokens > 0) || record.share.readLevel(now) < leastTokens ? 0 : record.share.lend(tokens, now);
	}

	/** Returns the record of an organisation. Creates it if needed, and resizes the share if the quota or the number of instances has changed. */
	private ensureRecord(id: OrganisationId, quota: TokenQuota, now: MonotonicMs): ShareRecord {
		const instances = Math.max(1, this.options.countInstances());
		const existing = this.records.get(id);
		if (existing === undefined) {
			const level = this.options.readTolerance().extraTokens * extraTokensInitialFraction / instances;
			const size = this.calculateShareSize({quota, instances, poolInstances: []});
			const record: ShareRecord = {
				share: new QuotaShare(size, now, level), quota, instances, poolInstances: [], borrowBackoffUntil: 0,
			};
			this.records.set(id, record);
			return record;
		}

		if (existing.instances !== instances || !equalsQuota(existing.quota, quota)) {
			existing.quota = quota;
			existing.instances = instances;
			existing.share.resize(this.calculateShareSize(existing), now);
		}

		return existing;
	}

	private calculateShareSize({quota, instances, poolInstances}: Pick<ShareRecord, 'quota' | 'instances' | 'poolInstances'>): ShareSize {
		const tokensPerMs = quota.tokensPerSecond * (1 + this.options.readTolerance().ratio) / msPerSecond / instances;
		const totalBurstTokens = this.calculateTotalBurst(quota);
		if (poolInstances.length === 0) {
			const burstTokens = totalBurstTokens / instances;
			return {tokensPerMs, burstTokens, poolCapacityTokens: burstTokens};
		}

		const burstTokens = totalBurstTokens * sharesBurstFraction / instances;
		return {tokensPerMs, burstTokens, poolCapacityTokens: poolInstances.includes(this.options.self) ? this.calculatePoolCapacity(quota) : burstTokens};
	}

	/** Calculates the burst of all shares and pools together, in tokens. */
	private calculateTotalBurst({burstTokens}: TokenQuota): number {
		const {ratio, extraTokens} = this.options.readTolerance();
		return (burstTokens * (1 + ratio)) + (extraTokens * extraTokensBurstFraction);
	}

	/** Calculates the maximum number of tokens in one pool. */
	private calculatePoolCapacity(quota: TokenQuota): number {
		return this.calculateTotalBurst(quota) * (1 - sharesBurstFraction) / poolInstanceCount;
	}
}

function equalsQuota(a: TokenQuota, b: TokenQuota): boolean {
	return a.tokensPerSecond === b.tokensPerSecond && a.burstTokens === b.burstTokens;
}
