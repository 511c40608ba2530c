/**
 * Transfers tokens between instances with `budget.exchange`. An instance that owns a part of the
 * organisation's slot is its own coordinator and requests tokens from the co-owners. Any other
 * instance requests them from the nearest owner as coordinator, which grants from its own parts,
 * requests the remainder from the co-owners and relays their grants.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {InstanceId, MonotonicMs, OrganisationId} from '../../identity/ids/index.js';
import type {MemberView} from '../../membership/member/index.js';
import type {PeerCaller, PeerMethodRegistry} from '../../peers/peer-caller/index.js';
import {
	exchangeMethod, exchangeRequestSchema, type ExchangeAnswer, type ExchangeRequest, type Grant, type TokenWant,
} from '../budget-exchange/index.js';
import type {BudgetHolder} from '../budget-holder/index.js';
import {
	chooseSlot, findSlotOfPart, listSlotOwners, listSlotParts, scoreCandidate, type LedgerRecord,
} from '../budget-ledger/index.js';
import type {BudgetMetrics} from '../budget-metrics/index.js';
import type {BudgetOwner} from '../budget-owner/index.js';
import type {PartOwnership} from '../part-ownership/index.js';
import type {BudgetTimings} from '../budget-timings/index.js';

/** How long a peer is skipped after a call to it failed or timed out. */
const suspectDurationMs = 1000;
/** Share of the wanted tokens that is added to each co-owner's weight, so that one without tokens in its last answer is still asked. */
const probeShare = 0.05;

/** Options of `BudgetExchanger`. */
export type BudgetExchangerOptions = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly peers: PeerCaller;
	readonly methods: PeerMethodRegistry;
	readonly members: MemberView;
	readonly owner: BudgetOwner;
	readonly holder: BudgetHolder;
	readonly ownership: PartOwnership;
	readonly timings: BudgetTimings;
	readonly metrics: BudgetMetrics;
	/** Called after a grant of the organisation has been received. */
	readonly onGrantsReceived: (organisation: OrganisationId) => void;
	/** Called when the ledger has to be read immediately: a peer knows a newer revision, or waits until this instance may grant to peers. */
	readonly onLedgerReadNeeded: () => void;
};

/** Sends and serves `budget.exchange` calls. */
export class BudgetExchanger {
	private readonly suspectUntil = new Map<InstanceId, number>();
	/** Tokens that a peer had left according to its latest answer, by peer and organisation. */
	private readonly peerLevels = new Map<string, number>();

	constructor(private readonly options: BudgetExchangerOptions) {
		options.methods.register(exchangeMethod, async parameters => this.serveExchange(exchangeRequestSchema.parse(parameters)));
	}

	/** Whether this instance may use a part of the organisation's slot. */
	isCoordinator(organisation: OrganisationId, now: MonotonicMs): boolean {
		const slot = chooseSlot(organisation);
		return this.options.ownership.isOwner(now) && this.options.owner.listParts().some(part => findSlotOfPart(part) === slot);
	}

	/** Whether this instance may use a part of the organisation's slot, or a live peer owns one. */
	isReachable(organisation: OrganisationId, now: MonotonicMs): boolean {
		return this.isCoordinator(organisation, now) || this.listOwners(organisation, now).length > 0;
	}

	/**
	 * Whether some parts of the organisation's slot are unowned, or their owner is leaving, does not
	 * respond or cannot use them yet.
	 */
	isInTransition(organisation: OrganisationId, now: MonotonicMs): boolean {
		const {ownership, members, self} = this.options;
		const ledger = ownership.readLedger();
		if (ledger === undefined) {
			return true;
		}

		const usableMembers = members.listLive(now).filter(member => member.state === 'live' && !this.isSuspect(member.id, now));
		const usableIds = new Set<string>(usableMembers.map(member => member.id));
		return listSlotParts(ledger, chooseSlot(organisation)).some(owner => !usableIds.has(owner) || (owner === self && !ownership.isOwner(now)));
	}

	/** Grants up to `tokens` from this instance's own parts to itself. */
	acquireLocalTokens(organisation: OrganisationId, tokens: number, now: MonotonicMs): void {
		const {ownership, owner, holder, self} = this.options;
		if (ownership.isOwner(now)) {
			for (const grant of owner.grant(organisation, tokens, now)) {
				holder.addGrant(grant, self, now);
			}
		}
	}

	/** Requests `tokens` from other instances. Resolves to the number of tokens received. */
	async pullTokens(organisation: OrganisationId, tokens: number): Promise<number> {
		const now = this.options.clock.readMonotonic();
		if (this.isCoordinator(organisation, now)) {
			return this.pullFromCoOwners(organisation, tokens);
		}

		const [coordinator] = this.listOwners(organisation, now);
		// Twice the timeout of a call, because the coordinator may have to wait for its co-owners first.
		return coordinator === undefined ? 0 : this.requestTokens(coordinator, 'coordinator', {organisation, tokens}, 2 * this.options.timings.callTimeoutMs);
	}

	/** Sends all unacknowledged reports. Reports on grants of this instance to itself are applied directly. */
	async flushReports(): Promise<void> {
		const {holder, owner, self, clock, timings} = this.options;
		const reports = holder.collectReports(self);
		owner.applyReports(reports, clock.readMonotonic());
		holder.acknowledgeReports(self, reports);
		const peers = holder.listUnreportedGranters().filter(peer => !this.isSuspect(peer, clock.readMonotonic()));
		await Promise.all(peers.map(async peer => this.callPeer(peer, 'coOwner', [], timings.callTimeoutMs)));
	}

	/** Fetches newer ledgers from up to `count` live peers and tells them the revision known here. */
	async syncLedgerWithPeers(count: number): Promise<void> {
		const {members, clock, self, timings} = this.options;
		const livePeers = members.listLive(clock.readMonotonic()).map(member => member.id).filter(id => id !== self);
		const selectedPeers = livePeers.toSorted((a, b) => scoreCandidate(self, a) - scoreCandidate(self, b)).slice(0, count);
		await Promise.all(selectedPeers.map(async peer => this.callPeer(peer, 'coOwner', [], timings.callTimeoutMs)));
	}

	private async pullFromCoOwners(organisation: OrganisationId, tokens: number): Promise<number> {
		const coOwners = this.listOwners(organisation, this.options.clock.readMonotonic());
		const weights = coOwners.map(peer => (this.peerLevels.get(formatLevelKey(peer, organisation)) ?? tokens) + (probeShare * tokens));
		const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
		const pulled = await Promise.all(coOwners.map(async (peer, index) => {
			const share = tokens * (weights[index] ?? 0) / totalWeight;
			return this.requestTokens(peer, 'coOwner', {organisation, tokens: share}, this.options.timings.callTimeoutMs);
		}));
		return pulled.reduce((sum, received) => sum + received, 0);
	}

	private async requestTokens(peer: InstanceId, role: ExchangeRequest['role'], want: TokenWant, timeoutMs: number): Promise<number> {
		const answer = await this.callPeer(peer, role, [want], timeoutMs);
		return answer?.grants.reduce((sum, grant) => sum + grant.tokens, 0) ?? 0;
	}

	/** Calls one peer and applies its answer. Resolves to undefined if the call failed. */
	private async callPeer(peer: InstanceId, role: ExchangeRequest['role'], wants: TokenWant[], timeoutMs: number): Promise<ExchangeAnswer | undefined> {
		const {holder, ownership, clock, peers, metrics, onGrantsReceived} = this.options;
		const sentAt = clock.readMonotonic();
		const request: ExchangeRequest = {
			role, ledgerRevision: ownership.readRevision(), reports: holder.collectReports(peer), wants,
		};
		try {
			const answer = await peers.call<ExchangeAnswer>(peer, exchangeMethod, request, timeoutMs);
			metrics.exchanges.inc({role, outcome: 'answered'});
			holder.acknowledgeReports(peer, request.reports);
			this.applyAnswer(peer, answer);
			for (const grant of answer.grants) {
				holder.addGrant(grant, peer, sentAt);
				onGrantsReceived(grant.organisation);
			}

			return answer;
		} catch {
			metrics.exchanges.inc({role, outcome: 'failed'});
			this.suspectUntil.set(peer, clock.readMonotonic() + suspectDurationMs);
			return undefined;
		}
	}

	private applyAnswer(peer: InstanceId, answer: ExchangeAnswer): void {
		for (const level of answer.levels) {
			this.peerLevels.set(formatLevelKey(peer, level.organisation), level.tokens);
		}

		if (answer.ledger !== undefined) {
			this.options.ownership.observePeerLedger(answer.ledger as LedgerRecord);
		}
	}

	private async serveExchange(request: ExchangeRequest): Promise<ExchangeAnswer> {
		const {owner, holder, ownership, clock} = this.options;
		const now = clock.readMonotonic();
		owner.applyReports(request.reports, now);
		holder.applyReports(request.reports, now);
		if (ownership.observePeerRevision(request.ledgerRevision)) {
			this.options.onLedgerReadNeeded();
		}

		const grants = await Promise.all(request.wants.map(async want => this.grantWant(want, request.role)));
		const levels = request.wants.map(({organisation}) => ({organisation, tokens: this.readUsableLevel(organisation)}));
		const ledger = ownership.readRevision() > request.ledgerRevision ? ownership.readLedger() : undefined;
		return {
			ledgerRevision: ownership.readRevision(), grants: grants.flat(), levels, ledger,
		};
	}

	private async grantWant(want: TokenWant, role: ExchangeRequest['role']): Promise<Grant[]> {
		const {owner, holder, ownership, clock} = this.options;
		const now = clock.readMonotonic();
		if (!ownership.isOwner(now)) {
			return [];
		}

		if (!ownership.canGrantToPeers()) {
			ownership.requestSharing();
			this.options.onLedgerReadNeeded();
			return [];
		}

		const grants = owner.grant(want.organisation, want.tokens, now);
		const missingTokens = want.tokens - countTokens(grants);
		if (role === 'coOwner' || missingTokens <= 0) {
			return grants;
		}

		const pulled = await this.pullFromCoOwners(want.organisation, missingTokens);
		return [...grants, ...holder.relay(want.organisation, Math.min(missingTokens, pulled), clock.readMonotonic())];
	}

	private readUsableLevel(organisation: OrganisationId): number {
		const now = this.options.clock.readMonotonic();
		return this.options.ownership.isOwner(now) ? this.options.owner.readLevel(organisation, now) : 0;
	}

	/** Live owners of the organisation's slot other than this instance, those in the same data centre first. */
	private listOwners(organisation: OrganisationId, now: MonotonicMs): InstanceId[] {
		const {ownership, members, self} = this.options;
		const ledger = ownership.readLedger();
		if (ledger === undefined) {
			return [];
		}

		const ownDataCentre = members.readSelf().dataCentre;
		const dataCentres = new Map(members.listLive(now).map(member => [member.id, member.dataCentre]));
		const owners = listSlotOwners(ledger, chooseSlot(organisation))
			.filter(id => id !== self && dataCentres.has(id));
		const responsive = owners.filter(id => !this.isSuspect(id, now));
		const rankDataCentre = (id: InstanceId) => dataCentres.get(id) === ownDataCentre ? 0 : 1;
		// On an overloaded machine every owner may have missed a deadline. Calling them again is better than refusing the request.
		const candidates = responsive.length > 0 ? responsive : owners;
		return candidates.toSorted((a, b) => rankDataCentre(a) - rankDataCentre(b) || scoreCandidate(self, a) - scoreCandidate(self, b));
	}

	private isSuspect(peer: InstanceId, now: MonotonicMs): boolean {
		return (this.suspectUntil.get(peer) ?? 0) > now;
	}
}

function countTokens(grants: readonly Grant[]): number {
	return grants.reduce((sum, grant) => sum + grant.tokens, 0);
}

function formatLevelKey(peer: InstanceId, organisation: OrganisationId): string {
	return `${peer}\n${organisation}`;
}
