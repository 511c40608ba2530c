/** Simulates a fleet of budget gates in one process, in virtual time, with faults of the network and the store. */

import {Registry} from 'prom-client';
import {ManualClock} from '../../clock/manual-clock/index.js';
import type {ResolvedOrganisation} from '../../configuration/configuration/index.js';
import type {
	DataCentreId, Incarnation, InstanceId, MonotonicMs, OrganisationId,
} from '../../identity/ids/index.js';
import {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member, MemberView} from '../../membership/member/index.js';
import type {PeerCaller} from '../../peers/peer-caller/index.js';
import {MemoryObjectApi} from '../../store/memory-object-api/index.js';
import {exchangeMethod, type ExchangeAnswer, type ExchangeRequest} from '../budget-exchange/index.js';
import type {BudgetGate} from '../budget-gate/index.js';
import type {Random} from '../create-random/index.js';
import {FleetBudget} from '../fleet-budget/index.js';
import type {AdmittedRequest} from '../measure-excess/index.js';
import {
	SimulatedClock, SimulatedNode, SimulatedStore, type SimulatedFaults,
} from '../simulated-node/index.js';

/** Options of a simulated fleet. */
export type SimulatedFleetOptions = {
	readonly random: Random;
	readonly instances: number;
	readonly organisations: readonly ResolvedOrganisation[];
	readonly logger: EventLogger;
	/** Creates the gates of a baseline; by default, each instance has a `FleetBudget`. */
	readonly createGate?: (clock: ManualClock, instances: number) => BudgetGate;
};

/** A request that is offered to an instance. */
export type OfferedRequest = {
	readonly organisation: OrganisationId;
	readonly tokens: number;
	readonly usedTokens: number;
	/** Time from admission to the settlement of the charge; undefined if it is never settled. */
	readonly durationMs?: number;
};

const networkLatencyMs = 1;
/** How long a member without heartbeats counts as live, as in membership. */
const livenessTimeoutMs = 5000;
const maximumClockOffsetMs = 1_000_000;
const dataCentreCount = 3;

/** Fleet in virtual time, with the requests that its instances admitted. */
export class SimulatedFleet {
	readonly clock = new ManualClock(10_000);
	readonly store = new MemoryObjectApi();
	readonly faults: SimulatedFaults = {
		lostMessage: 0, repeatedMessage: 0, lateMessage: 0, lateMs: 0, failedStoreCall: 0, lostStoreAnswer: 0,
	};

	readonly nodes: SimulatedNode[] = [];
	readonly admitted = new Map<OrganisationId, AdmittedRequest[]>();
	/** Number of messages sent. */
	messages = 0;
	private organisations: readonly ResolvedOrganisation[];
	private startedNodeCount = 0;
	private readonly lateSpenderPeers = this.createPeers(new SimulatedNode('late-spender' as InstanceId, 'late-spender' as Incarnation, 'elsewhere' as DataCentreId));

	constructor(private readonly options: SimulatedFleetOptions) {
		this.organisations = options.organisations;
		for (let index = 0; index < options.instances; index += 1) {
			this.startNode(index);
		}
	}

	/** Starts a new incarnation of instance `index`. */
	startNode(index: number): void {
		this.startedNodeCount += 1;
		const id = `entry-${index}` as InstanceId;
		const node = new SimulatedNode(id, `${id}.${this.startedNodeCount}` as Incarnation, `centre-${index % dataCentreCount}` as DataCentreId);
		node.gate = this.options.createGate?.(this.clock, this.options.instances) ?? this.createBudget(node);
		this.nodes[index] = node;
	}

	/** Shuts down instance `index` gracefully. */
	async stopNode(index: number): Promise<void> {
		const node = this.nodes[index];
		if (node?.gate instanceof FleetBudget) {
			await node.gate.stop();
		}

		node?.setState('crashed');
	}

	/** Applies `organisations` on all instances. */
	applyOrganisations(organisations: readonly ResolvedOrganisation[]): void {
		this.organisations = organisations;
		for (const {gate} of this.nodes) {
			if (gate instanceof FleetBudget) {
				gate.applyOrganisations(organisations);
			}
		}
	}

	/** Offers a request to instance `index`. Resolves to the name of the refusal, or to undefined if the request was admitted. */
	async offerRequest(index: number, request: OfferedRequest): Promise<string | undefined> {
		const gate = this.nodes[index]?.gate;
		const organisation = this.organisations.find(({id}) => id === request.organisation);
		if (gate === undefined || organisation === undefined) {
			return 'absent';
		}

		try {
			const admission = await gate.admit(organisation, request.tokens, 500);
			const record = this.recordAdmitted(request.organisation, request.tokens);
			if (request.durationMs !== undefined) {
				void this.clock.sleep(request.durationMs).then(() => {
					// After settlement, only the used tokens count, still from the time of admission.
					record.tokens = request.usedTokens;
					admission.settle(request.usedTokens);
				});
			}

			return undefined;
		} catch (error) {
			return (error as {entry?: {name: string}}).entry?.name ?? String(error);
		}
	}

	/**
	 * Requests tokens from an instance as a holder that spends each grant in full as late as `spendAt`,
	 * or just before the grant's validity ends, and never reports it.
	 */
	async simulateLateSpender(to: number, organisation: OrganisationId, tokens: number, spendAt: number): Promise<void> {
		const granter = this.nodes[to]?.id ?? '' as InstanceId;
		const sentAt = this.clock.readMonotonic();
		const request: ExchangeRequest = {
			role: 'coordinator', ledgerRevision: 0, reports: [], wants: [{organisation, tokens}],
		};
		const answer = await this.lateSpenderPeers.call<ExchangeAnswer>(granter, exchangeMethod, request, 1000).catch(() => undefined);
		for (const grant of answer?.grants ?? []) {
			const lastValidAt = sentAt + grant.validMs - 1;
			void this.clock.sleep(Math.max(0, Math.min(lastValidAt, spendAt) - this.clock.readMonotonic())).then(() => {
				if (this.clock.readMonotonic() <= lastValidAt) {
					this.recordAdmitted(organisation, grant.tokens);
				}
			});
		}
	}

	private recordAdmitted(organisation: OrganisationId, tokens: number): AdmittedRequest {
		const record: AdmittedRequest = {at: this.clock.readMonotonic(), tokens};
		const records = this.admitted.get(organisation) ?? [];
		records.push(record);
		this.admitted.set(organisation, records);
		return record;
	}

	private createBudget(node: SimulatedNode): FleetBudget {
		const {random, logger} = this.options;
		const clock = new SimulatedClock(this.clock, node, Math.floor(random() * maximumClockOffsetMs));
		const budget = new FleetBudget({
			incarnation: node.incarnation, clock, logger, invariants: new InvariantChecker({isStrict: true}), registry: new Registry(),
			objectApi: new SimulatedStore(this.store, this.clock, node, this.faults, random),
			peers: this.createPeers(node), members: this.createMembers(node),
			methods: {
				register(method, handler) {
					node.handlers.set(method, handler);
				},
			},
		});
		budget.applyOrganisations(this.organisations);
		budget.start();
		return budget;
	}

	private createMembers(node: SimulatedNode): MemberView {
		const describe = (member: SimulatedNode): Member => member.describe('127.0.0.1:1');
		return {
			readSelf: () => describe(node),
			listLive: (_now: MonotonicMs) => this.nodes
				.filter(other => other === node || (this.isConsideredLive(other) && !node.hiddenNodes.has(other.id)))
				.map(describe),
		};
	}

	private isConsideredLive(node: SimulatedNode): boolean {
		if (node.state === 'live') {
			node.lastLiveAt = this.clock.readMonotonic();
		}

		return this.clock.readMonotonic() - node.lastLiveAt < livenessTimeoutMs;
	}

	private createPeers(node: SimulatedNode): PeerCaller {
		return {
			call: async <Result>(peer: InstanceId, method: string, parameters: unknown, timeoutMs: number) => {
				const {promise, resolve, reject} = createDeferred<Result>();
				void this.clock.sleep(timeoutMs).then(async () => {
					await node.waitUntilLive();
					reject(new Error('peer call timed out'));
				});
				const payload = JSON.stringify(parameters);
				void this.exchangeMessage(node, peer, method, payload).then(async answer => {
					await node.waitUntilLive();
					if (answer !== undefined) {
						resolve(JSON.parse(answer) as Result);
					}
				});
				return promise;
			},
		};
	}

	/** Delivers a message to its handler and returns the answer, or undefined if either is lost. */
	private async exchangeMessage(from: SimulatedNode, to: InstanceId, method: string, payload: string): Promise<string | undefined> {
		const {random} = this.options;
		this.messages += 1;
		if (random() < this.faults.repeatedMessage) {
			void this.clock.sleep(random() * this.faults.lateMs).then(async () => this.handleMessage(from, to, method, payload));
		}

		const answer = await this.transmit(async () => this.handleMessage(from, to, method, payload));
		return answer === undefined ? undefined : this.transmit(async () => answer);
	}

	/** Carries a message in one direction: runs `deliver` after the latency, or returns undefined if the message is lost. */
	private async transmit(deliver: () => Promise<string | undefined>): Promise<string | undefined> {
		const {random} = this.options;
		if (random() < this.faults.lostMessage) {
			return undefined;
		}

		await this.clock.sleep(networkLatencyMs + (random() < this.faults.lateMessage ? random() * this.faults.lateMs : 0));
		return deliver();
	}

	private async handleMessage(from: SimulatedNode, to: InstanceId, method: string, payload: string): Promise<string | undefined> {
		const node = this.nodes.find(other => other.id === to);
		await node?.waitUntilLive();
		const handler = node?.handlers.get(method);
		return handler === undefined ? undefined : JSON.stringify(await handler(JSON.parse(payload), from.id));
	}
}

function createDeferred<Result>() {
	let resolve: (result: Result) => void = () => undefined;
	let reject: (error: Error) => void = () => undefined;
	const promise = new Promise<Result>((resolvePromise, rejectPromise) => {
		resolve = resolvePromise;
		reject = rejectPromise;
	});
	return {promise, resolve, reject};
}
