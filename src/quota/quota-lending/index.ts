/**
 * Quotas over all instances: each has an equal share of every quota and borrows from others what its
 * own callers need beyond that. In a large fleet, shares pass what they do not use to the keepers of the
 * organisation, who lend first.
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
import type {DatagramSender} from '../../peers/datagram-channel/index.js';
import type {Member} from '../../membership/member/index.js';
import type {CallerOrganisation, TokenQuota} from '../../routing/routing-types/index.js';
import {keeperCount, listKeepers} from '../quota-keepers/index.js';
import {QuotaShare, type ShareSize} from '../quota-share/index.js';

/** JSON-RPC method by which an instance asks another for tokens. */
export const borrowMethod = 'quota.borrow';
/** Type of the datagrams by which shares pass tokens to keepers. */
export const depositMessageType = 'quota.deposit';
const borrowTimeoutMs = 60;
/** Interval of the deposits, in milliseconds. */
const depositIntervalMs = 500;
/** Part of the burst that the shares of a large fleet keep together; the rest is the room of the keepers' pools. */
const sharesPart = 0.3;
/** Least part of a share's burst that is worth a deposit. */
const smallestDeposit = 0.2;
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
	readonly self: InstanceId;
	/** Live instances other than this one. */
	readonly listPeers: () => readonly Member[];
	readonly channel: DatagramSender;
	/** Tolerance that is granted on each quota. */
	readonly tolerance: QuotaTolerance;
};

/** Tolerance on a quota: a part of rate and burst, and tokens in any window. */
export type QuotaTolerance = {readonly ratio: number; readonly extraTokens: number};

type ShareRecord = {readonly share: QuotaShare; quota: TokenQuota; instances: number; keepers: readonly InstanceId[]; dryUntil: number};
type Deposit = {readonly organisation: OrganisationId; readonly tokens: number};
/** `leastTokens`: fewer are of no use to the borrower, and stay with the lender for others. */
type BorrowRequest = {readonly organisation: OrganisationId; readonly tokens: number; readonly leastTokens: number};

/** Shares of all organisations at this instance. */
export class QuotaLending implements QuotaGate {
	private readonly records = new Map<OrganisationId, ShareRecord>();

	constructor(private readonly options: QuotaLendingOptions) {
		options.registry.register(borrowMethod, async parameters => this.lend(parameters as BorrowRequest));
		options.channel.register(depositMessageType, body => {
			this.takeDeposit(body as Deposit);
		});
	}

	/** Passes unused tokens to keepers until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.options;
		while (!signal.aborted) {
			await clock.sleep(random.spreadPause(depositIntervalMs), signal);
			this.updateKeepers();
			this.deposit(clock.readMonotonic());
		}
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
		return record.share.charge(tokens, later) || (record.keepers.length === 0 && record.share.overdraw(tokens, later));
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
		const {clock, caller} = this.options;
		for (const peer of this.chooseLenders(record)) {
			const shortage = record.share.measureShortage(tokens, clock.readMonotonic());
			if (shortage === 0) {
				return;
			}

			const isPooled = record.keepers.length > 0 && shortage <= this.calculatePool(record.quota);
			const request: BorrowRequest = {organisation, tokens: shortage, leastTokens: isPooled ? shortage : 0};
			try {
				const lent = await caller.call<number>(peer, borrowMethod, request, borrowTimeoutMs);
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

	/** The keepers, or any instances where there are none. */
	private chooseLenders({keepers}: ShareRecord): InstanceId[] {
		const {self, random, listPeers} = this.options;
		const lenders = keepers.filter(id => id !== self);
		return lenders.length > 0 ? random.pickSome(lenders, lenders.length) : random.pickSome(listPeers().map(peer => peer.id), maximumLenders);
	}

	private updateKeepers(): void {
		const {self, listPeers, clock} = this.options;
		const live = [self, ...listPeers().filter(peer => peer.state === 'live').map(peer => peer.id)];
		for (const [organisation, record] of this.records) {
			record.keepers = listKeepers(organisation, live);
			record.share.resize(this.divideQuota(record), clock.readMonotonic());
		}
	}

	private deposit(now: MonotonicMs): void {
		const {self, random, listPeers, channel} = this.options;
		const addresses = new Map(listPeers().map(peer => [peer.id, peer.peerAddress]));
		for (const [organisation, record] of this.records) {
			const {share, keepers} = record;
			const keeper = random.pickSome(keepers, 1)[0];
			const address = keeper === undefined ? undefined : addresses.get(keeper);
			const {burstTokens} = this.divideQuota(record);
			if (address === undefined || keepers.includes(self) || share.readLevel(now) < burstTokens * smallestDeposit) {
				continue;
			}

			const deposit: Deposit = {organisation, tokens: share.takeSurplus(0, now)};
			channel.send([address], depositMessageType, deposit);
		}
	}

	private takeDeposit({organisation, tokens}: Deposit): void {
		if (tokens > 0) {
			this.records.get(organisation)?.share.deposit(tokens, this.options.clock.readMonotonic());
		}
	}

	private lend({organisation, tokens, leastTokens}: BorrowRequest): number {
		const now = this.options.clock.readMonotonic();
		const record = this.records.get(organisation);
		return record === undefined || !(tokens > 0) || record.share.readLevel(now) < leastTokens ? 0 : record.share.lend(tokens, now);
	}

	private open(id: OrganisationId, quota: TokenQuota, now: MonotonicMs): ShareRecord {
		const instances = Math.max(1, this.options.countInstances());
		const known = this.records.get(id);
		if (known === undefined) {
			const level = this.options.tolerance.extraTokens * startShare / instances;
			const size = this.divideQuota({quota, instances, keepers: []});
			const record: ShareRecord = {
				share: new QuotaShare(size, now, level), quota, instances, keepers: [], dryUntil: 0,
			};
			this.records.set(id, record);
			return record;
		}

		if (known.instances !== instances || !equalsQuota(known.quota, quota)) {
			known.quota = quota;
			known.instances = instances;
			known.share.resize(this.divideQuota(known), now);
		}

		return known;
	}

	private divideQuota({quota, instances, keepers}: Pick<ShareRecord, 'quota' | 'instances' | 'keepers'>): ShareSize {
		const tokensPerMs = quota.tokensPerSecond * (1 + this.options.tolerance.ratio) / msPerSecond / instances;
		const wholeBurst = this.calculateBurst(quota);
		if (keepers.length === 0) {
			const burstTokens = wholeBurst / instances;
			return {tokensPerMs, burstTokens, poolTokens: burstTokens};
		}

		const burstTokens = wholeBurst * sharesPart / instances;
		return {tokensPerMs, burstTokens, poolTokens: keepers.includes(this.options.self) ? this.calculatePool(quota) : burstTokens};
	}

	/** Burst of all shares and pools together, in tokens. */
	private calculateBurst({burstTokens}: TokenQuota): number {
		const {ratio, extraTokens} = this.options.tolerance;
		return (burstTokens * (1 + ratio)) + (extraTokens * extraShare);
	}

	/** Tokens that one keeper's pool holds at most. */
	private calculatePool(quota: TokenQuota): number {
		return this.calculateBurst(quota) * (1 - sharesPart) / keeperCount;
	}
}

function equalsQuota(a: TokenQuota, b: TokenQuota): boolean {
	return a.tokensPerSecond === b.tokensPerSecond && a.burstTokens === b.burstTokens;
}
