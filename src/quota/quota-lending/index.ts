/**
 * Enforces token quotas across all instances. Each instance has an equal share of every quota and borrows from
 * others what its own callers need beyond that. In a large fleet, shares deposit unused tokens at the pool
 * instances of the organisation, which are asked first.
 *
 * Callers are spread unevenly over the instances, and an organisation may send several times its rate. Within the
 * rate, a call is admitted at any instance. Beyond it all shares are empty, and calls are refused after one failed
 * round of borrowing, which is followed by a short backoff. What a refused call has borrowed goes back, since the lenders have
 * begun to refill their shares.
 *
 * In a small fleet, a call may exceed what all shares hold. Only one instance for each organisation lends for that and goes into
 * debt, so that the calls of several instances at one moment can't each exceed the quota.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {InstanceId, MonotonicMs, OrganisationId} from '../../identity/ids/index.js';
import type {QuotaGate} from '../../forwarding/forwarding-context/index.js';
import type {PeerCaller, PeerMethodRegistry} from '../../peers/peer-caller/index.js';
import {rankByHash} from '../../random/rank-by-hash/index.js';
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
/** Instances asked for tokens for one call if no other instance has a pool; more for a call that is larger than their shares. */
const usualLendersPerCall = 7;
/** Time after a failed round of borrowing in which no instance is asked again. */
const borrowBackoffMs = 100;
/** Fraction of the extra tokens that is added to the burst; the remainder covers calls larger than the burst of a share. */
const extraTokensBurstFraction = 0.6;
/** Fraction of the extra tokens that all shares together start with, so that calls after a restart of all instances needn't wait for a refill. */
const extraTokensInitialFraction = 0.25;
/** Time after the start of a share in which it lends no overdrafts, as it may have been in debt before a restart, in milliseconds. */
const overdraftDelayMs = 10_000;
/** Fraction of the burst of all shares that has to be there for a call that is larger than this burst. */
const largeCallBurstFraction = 0.9;
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
	readonly createdAt: MonotonicMs;
	quota: TokenQuota;
	/** Number of instances that have a share of the quota. */
	instances: number;
	/** Empty in a small fleet. */
	poolInstances: readonly InstanceId[];
	borrowBackoffUntil: number;
};
type Deposit = {readonly organisation: OrganisationId; readonly tokens: number};
/**
 * Fewer tokens than `leastTokens` are of no use to the borrower and stay with the lender. `overdraftFor`: tokens of the call for
 * which the lender may go into debt; instances of earlier releases neither send nor read it.
 */
type BorrowRequest = {
	readonly organisation: OrganisationId;
	readonly tokens: number;
	readonly leastTokens: number;
	readonly overdraftFor?: number;
};

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
			await this.settleDebts();
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

		if (now < record.borrowBackoffUntil) {
			return false;
		}

		await this.borrow(organisation.id, record, tokens);
		const isCharged = record.share.charge(tokens, this.options.clock.readMonotonic())
			|| (record.poolInstances.length === 0 && await this.chargeOverdraft(organisation.id, record, tokens));
		if (!isCharged) {
			this.returnExcess(organisation.id, record);
		}

		return isCharged;
	}

	refund(organisation: CallerOrganisation, tokens: number): void {
		const record = this.records.get(organisation.id);
		if (record !== undefined) {
			record.share.receive(tokens, this.options.clock.readMonotonic());
			this.returnExcess(organisation.id, record);
		}
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
		for (const peer of this.chooseLenders(record, tokens)) {
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

	/** Charges a call for which all shares hold too little, if the instance that may go into debt lends the remainder. */
	private async chargeOverdraft(organisation: OrganisationId, record: ShareRecord, tokens: number): Promise<boolean> {
		const {self, clock, caller} = this.options;
		const {share} = record;
		const lender = this.chooseOverdraftInstance(organisation);
		if (lender === self) {
			return this.overdraw(record, tokens, tokens);
		}

		const shortage = share.measureShortage(tokens, clock.readMonotonic());
		try {
			const request: BorrowRequest = {
				organisation, tokens: shortage, leastTokens: shortage, overdraftFor: tokens,
			};
			share.receive(await caller.call<number>(lender, borrowMethod, request, borrowTimeoutMs), clock.readMonotonic());
		} catch {
			// Tokens of a lost answer are lost as well, and the call is refused.
		}

		return share.charge(tokens, clock.readMonotonic());
	}

	/** Withdraws `tokens` for a call of `callTokens` from the share of this instance, which may go into debt. */
	private overdraw({share, quota, createdAt}: ShareRecord, tokens: number, callTokens: number): boolean {
		const now = this.options.clock.readMonotonic();
		return now - createdAt >= overdraftDelayMs && share.overdraw(tokens, this.calculateMaximumDebt(quota, callTokens), now);
	}

	/** Chooses the one instance that goes into debt for an organisation. */
	private chooseOverdraftInstance(organisation: OrganisationId): InstanceId {
		return rankByHash(organisation, this.listLiveIds(), id => id)[0]!;
	}

	/** Lists the live instances, this one included. */
	private listLiveIds(): InstanceId[] {
		const {self, listPeers} = this.options;
		return [self, ...listPeers().filter(peer => peer.state === 'live').map(peer => peer.id)];
	}

	/** Gives tokens beyond the burst of the share back: to all others in equal parts, or to a pool instance. */
	private returnExcess(organisation: OrganisationId, {share, poolInstances}: ShareRecord): void {
		const {self, listPeers, channel, clock, random} = this.options;
		const peers = listPeers();
		const receivers = poolInstances.length === 0 ? peers : random.pickSome(peers.filter(peer => poolInstances.includes(peer.id)), 1);
		if (receivers.length === 0 || poolInstances.includes(self)) {
			return;
		}

		const tokens = share.withdrawExcess(clock.readMonotonic());
		if (tokens > 0) {
			const deposit: Deposit = {organisation, tokens: tokens / receivers.length};
			channel.send(receivers.map(peer => peer.peerAddress), depositMessageType, deposit);
		}
	}

	/** Chooses the pool instances in random order, or random instances if no other instance has a pool. */
	private chooseLenders(record: ShareRecord, tokens: number): InstanceId[] {
		const {self, random, listPeers} = this.options;
		const lenders = record.poolInstances.filter(id => id !== self);
		if (lenders.length > 0) {
			return random.pickSome(lenders, lenders.length);
		}

		const neededShares = Math.ceil(tokens / Math.max(1, this.calculateShareSize(record).burstTokens));
		return random.pickSome(listPeers().map(peer => peer.id), Math.max(usualLendersPerCall, neededShares));
	}

	/** Borrows what covers the debts of this instance. */
	private async settleDebts(): Promise<void> {
		for (const [organisation, record] of this.records) {
			if (record.share.readLevel(this.options.clock.readMonotonic()) < 0) {
				await this.borrow(organisation, record, 0);
			}
		}
	}

	private updatePoolInstances(): void {
		const {clock} = this.options;
		const liveIds = this.listLiveIds();
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

	private lend({organisation, tokens, leastTokens, overdraftFor}: BorrowRequest): number {
		const now = this.options.clock.readMonotonic();
		const record = this.records.get(organisation);
		if (overdraftFor !== undefined && record !== undefined && tokens > 0) {
			return this.overdraw(record, tokens, overdraftFor) ? tokens : 0;
		}

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
				share: new QuotaShare(size, now, level), createdAt: now, quota, instances, poolInstances: [], borrowBackoffUntil: 0,
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

	/** Calculates the largest debt for a call: the extra tokens that no burst contains, or what a call larger than all shares lacks. */
	private calculateMaximumDebt(quota: TokenQuota, callTokens: number): number {
		const extraTokens = this.options.readTolerance().extraTokens * (1 - extraTokensBurstFraction);
		return Math.max(extraTokens, callTokens - (largeCallBurstFraction * this.calculateTotalBurst(quota)));
	}

	/** Calculates the maximum number of tokens in one pool. */
	private calculatePoolCapacity(quota: TokenQuota): number {
		return this.calculateTotalBurst(quota) * (1 - sharesBurstFraction) / poolInstanceCount;
	}
}

function equalsQuota(a: TokenQuota, b: TokenQuota): boolean {
	return a.tokensPerSecond === b.tokensPerSecond && a.burstTokens === b.burstTokens;
}
