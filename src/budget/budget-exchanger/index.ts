/**
 * Moves tokens between instances with `budget.exchange`. An instance that owns a part of the
 * organisation's slot coordinates for itself: it asks the co-owners. Any other asks the nearest
 * owner, which grants from its parts, asks the co-owners for the rest and relays what they grant.
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
	chooseSlot, findSlot, listSlotOwners, listSlotParts, scoreCandidate, type LedgerRecord,
} from '../budget-ledger/index.js';
import type {BudgetMetrics} from '../budget-metrics/index.js';
import type {BudgetOwner} from '../budget-owner/index.js';
import type {BudgetTenure} from '../budget-tenure/index.js';
import type {BudgetTimings} from '../budget-timings/index.js';

/** How long a peer that missed a deadline is not asked again, in milliseconds. */
const suspectMs = 1000;
/** Share of what is wanted that is asked even from a co-owner that last had nothing. */
const probeShare = 0.05;

/** What an exchanger needs. */
export type BudgetExchangerOptions = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly peers: PeerCaller;
	readonly methods: PeerMethodRegistry;
	readonly members: MemberView;
	readonly owner: BudgetOwner;
	readonly holder: BudgetHolder;
	readonly tenure: BudgetTenure;
	readonly timings: BudgetTimings;
	readonly metrics: BudgetMetrics;
	/** Called when lots of an organisation arrived. */
	readonly onLots: (organisation: OrganisationId) => void;
	/** Called when the ledger must be read at once: a peer knows a newer one, or waits for this instance to share its parts. */
	readonly onLedgerDue: () => void;
};

/** Sends and serves exchanges. */
export class BudgetExchanger {
	private readonly suspectUntil = new Map<InstanceId, number>();
	/** Tokens that a peer had left in its latest answer. */
	private readonly levels = new Map<string, number>();

	constructor(private readonly options: BudgetExchangerOptions) {
		options.methods.register(exchangeMethod, async parameters => this.serveExchange(exchangeRequestSchema.parse(parameters)));
	}

	/** Whether this instance may use a part of the organisation's slot. */
	isCoordinator(organisation: OrganisationId, now: MonotonicMs): boolean {
		const slot = chooseSlot(organisation);
		return this.options.tenure.isOwner(now) && this.options.owner.listParts().some(part => findSlot(part) === slot);
	}

	/** Whether this instance or a live peer that answers may grant tokens of the organisation. */
	isReachable(organisation: OrganisationId, now: MonotonicMs): boolean {
		return this.isCoordinator(organisation, now) || this.listOwners(organisation, now).length > 0;
	}

	/** Whether some parts of the organisation's slot are free, or named for an instance that leaves, is silent or cannot use them yet. */
	isInTransition(organisation: OrganisationId, now: MonotonicMs): boolean {
		const {tenure, members, self} = this.options;
		const ledger = tenure.readLedger();
		if (ledger === undefined) {
			return true;
		}

		const usable = members.listLive(now).filter(member => member.state === 'live' && !this.isSuspect(member.id, now));
		const usableIds = new Set<string>(usable.map(member => member.id));
		return listSlotParts(ledger, chooseSlot(organisation)).some(owner => !usableIds.has(owner) || (owner === self && !tenure.isOwner(now)));
	}

	/** Takes up to `tokens` from the own parts. */
	takeLocal(organisation: OrganisationId, tokens: number, now: MonotonicMs): void {
		const {tenure, owner, holder, self} = this.options;
		if (tenure.isOwner(now)) {
			for (const grant of owner.grant(organisation, tokens, now)) {
				holder.addGrant(grant, self, now);
			}
		}
	}

	/** Asks other instances for `tokens`; resolves to how many came. */
	async pullTokens(organisation: OrganisationId, tokens: number): Promise<number> {
		const now = this.options.clock.readMonotonic();
		if (this.isCoordinator(organisation, now)) {
			return this.pullFromCoOwners(organisation, tokens);
		}

		const [coordinator] = this.listOwners(organisation, now);
		// The coordinator may have to wait for its co-owners first.
		return coordinator === undefined ? 0 : this.requestTokens(coordinator, 'coordinator', {organisation, tokens}, 2 * this.options.timings.callTimeoutMs);
	}

	/** Sends all reports that were not acknowledged, the own ones without a message. */
	async flushReports(): Promise<void> {
		const {holder, owner, self, clock, timings} = this.options;
		const reports = holder.collectReports(self);
		owner.applyReports(reports, clock.readMonotonic());
		holder.acknowledgeReports(self, reports);
		const peers = holder.listReportedTo().filter(peer => !this.isSuspect(peer, clock.readMonotonic()));
		await Promise.all(peers.map(async peer => this.callPeer(peer, 'coOwner', [], timings.callTimeoutMs)));
	}

	/** Asks live peers for the ledger, or tells them of a newer one. */
	async greetPeers(count: number): Promise<void> {
		const {members, clock, self, timings} = this.options;
		const live = members.listLive(clock.readMonotonic()).map(member => member.id).filter(id => id !== self);
		const chosen = live.toSorted((a, b) => scoreCandidate(self, a) - scoreCandidate(self, b)).slice(0, count);
		await Promise.all(chosen.map(async peer => this.callPeer(peer, 'coOwner', [], timings.callTimeoutMs)));
	}

	private async pullFromCoOwners(organisation: OrganisationId, tokens: number): Promise<number> {
		const peers = this.listOwners(organisation, this.options.clock.readMonotonic());
		const weights = peers.map(peer => (this.levels.get(formatKey(peer, organisation)) ?? tokens) + (probeShare * tokens));
		const total = weights.reduce((sum, weight) => sum + weight, 0);
		const pulled = await Promise.all(peers.map(async (peer, index) => {
			const share = tokens * (weights[index] ?? 0) / total;
			return this.requestTokens(peer, 'coOwner', {organisation, tokens: share}, this.options.timings.callTimeoutMs);
		}));
		return pulled.reduce((sum, got) => sum + got, 0);
	}

	private async requestTokens(peer: InstanceId, role: ExchangeRequest['role'], want: TokenWant, timeoutMs: number): Promise<number> {
		const answer = await this.callPeer(peer, role, [want], timeoutMs);
		return answer?.grants.reduce((sum, grant) => sum + grant.tokens, 0) ?? 0;
	}

	/** Calls one peer and applies its answer; undefined when the call failed. */
	private async callPeer(peer: InstanceId, role: ExchangeRequest['role'], wants: TokenWant[], timeoutMs: number): Promise<ExchangeAnswer | undefined> {
		const {holder, tenure, clock, peers, metrics, onLots} = this.options;
		const sentAt = clock.readMonotonic();
		const request: ExchangeRequest = {
			role, ledgerRevision: tenure.readRevision(), reports: holder.collectReports(peer), wants,
		};
		try {
			const answer = await peers.call<ExchangeAnswer>(peer, exchangeMethod, request, timeoutMs);
			metrics.exchanges.inc({role, outcome: 'answered'});
			holder.acknowledgeReports(peer, request.reports);
			this.noteAnswer(peer, answer);
			for (const grant of answer.grants) {
				holder.addGrant(grant, peer, sentAt);
				onLots(grant.organisation);
			}

			return answer;
		} catch {
			metrics.exchanges.inc({role, outcome: 'failed'});
			this.suspectUntil.set(peer, clock.readMonotonic() + suspectMs);
			return undefined;
		}
	}

	private noteAnswer(peer: InstanceId, answer: ExchangeAnswer): void {
		for (const level of answer.levels) {
			this.levels.set(formatKey(peer, level.organisation), level.tokens);
		}

		if (answer.ledger !== undefined) {
			this.options.tenure.noteLedger(answer.ledger as LedgerRecord);
		}
	}

	private async serveExchange(request: ExchangeRequest): Promise<ExchangeAnswer> {
		const {owner, holder, tenure, clock} = this.options;
		const now = clock.readMonotonic();
		owner.applyReports(request.reports, now);
		holder.applyReports(request.reports, now);
		if (tenure.noteRevision(request.ledgerRevision)) {
			this.options.onLedgerDue();
		}

		const grants = await Promise.all(request.wants.map(async want => this.grantWant(want, request.role)));
		const levels = request.wants.map(({organisation}) => ({organisation, tokens: this.readUsableLevel(organisation)}));
		const ledger = tenure.readRevision() > request.ledgerRevision ? tenure.readLedger() : undefined;
		return {
			ledgerRevision: tenure.readRevision(), grants: grants.flat(), levels, ledger,
		};
	}

	private async grantWant(want: TokenWant, role: ExchangeRequest['role']): Promise<Grant[]> {
		const {owner, holder, tenure, clock} = this.options;
		const now = clock.readMonotonic();
		if (!tenure.isOwner(now)) {
			return [];
		}

		if (!tenure.canGrantToPeers()) {
			tenure.requestSharing();
			this.options.onLedgerDue();
			return [];
		}

		const grants = owner.grant(want.organisation, want.tokens, now);
		const missing = want.tokens - countTokens(grants);
		if (role === 'coOwner' || missing <= 0) {
			return grants;
		}

		const pulled = await this.pullFromCoOwners(want.organisation, missing);
		return [...grants, ...holder.relay(want.organisation, Math.min(missing, pulled), clock.readMonotonic())];
	}

	private readUsableLevel(organisation: OrganisationId): number {
		const now = this.options.clock.readMonotonic();
		return this.options.tenure.isOwner(now) ? this.options.owner.readLevel(organisation, now) : 0;
	}

	/** Live owners of the organisation's slot besides this instance, nearest first. */
	private listOwners(organisation: OrganisationId, now: MonotonicMs): InstanceId[] {
		const {tenure, members, self} = this.options;
		const ledger = tenure.readLedger();
		if (ledger === undefined) {
			return [];
		}

		const ownDataCentre = members.readSelf().dataCentre;
		const dataCentres = new Map(members.listLive(now).map(member => [member.id, member.dataCentre]));
		const owners = listSlotOwners(ledger, chooseSlot(organisation))
			.filter(id => id !== self && dataCentres.has(id));
		const answering = owners.filter(id => !this.isSuspect(id, now));
		const rank = (id: InstanceId) => dataCentres.get(id) === ownDataCentre ? 0 : 1;
		// On a busy machine all of them may have missed a deadline; asking again is better than refusing.
		const chosen = answering.length > 0 ? answering : owners;
		return chosen.toSorted((a, b) => rank(a) - rank(b) || scoreCandidate(self, a) - scoreCandidate(self, b));
	}

	private isSuspect(peer: InstanceId, now: MonotonicMs): boolean {
		return (this.suspectUntil.get(peer) ?? 0) > now;
	}
}

function countTokens(grants: readonly Grant[]): number {
	return grants.reduce((sum, grant) => sum + grant.tokens, 0);
}

function formatKey(peer: InstanceId, organisation: OrganisationId): string {
	return `${peer}\n${organisation}`;
}
