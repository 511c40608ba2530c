/** A fleet of budget gates in one process, in virtual time, over a network and a store with faults. */

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
import type {AdmittedRequest} from '../interval-meter/index.js';
import {
	SimulatedClock, SimulatedNode, SimulatedStore, type SimulatedFaults,
} from '../simulated-node/index.js';

/** What a simulated fleet is made of. */
export type SimulatedFleetOptions = {
	readonly random: Random;
	readonly instances: number;
	readonly organisations: readonly ResolvedOrganisation[];
	readonly logger: EventLogger;
	/** Creates other gates than `FleetBudget`, as a baseline. */
	readonly createGate?: (clock: ManualClock, instances: number) => BudgetGate;
};

/** A request as offered. */
export type OfferedRequest = {
	readonly organisation: OrganisationId;
	readonly tokens: number;
	readonly usedTokens: number;
	/** When the request is done and its charge is settled; never, if undefined. */
	readonly durationMs?: number;
};

const latencyMs = 1;
/** How long a silent member counts as live, as in membership. */
const livenessMs = 5000;
const largestOffsetMs = 1_000_000;
const dataCentreCount = 3;

/** A fleet in virtual time. */
export class SimulatedFleet {
	readonly clock = new ManualClock(10_000);
	readonly store = new MemoryObjectApi();
	readonly faults: SimulatedFaults = {
		lostMessage: 0, repeatedMessage: 0, lateMessage: 0, lateMs: 0, failedStoreCall: 0, lostStoreAnswer: 0,
	};

	readonly nodes: SimulatedNode[] = [];
	readonly admitted = new Map<OrganisationId, AdmittedRequest[]>();
	/** Messages sent so far. */
	messages = 0;
	private organisations: readonly ResolvedOrganisation[];
	private lives = 0;
	private readonly hoarderPeers = this.createPeers(new SimulatedNode('hoarder' as InstanceId, 'hoarder' as Incarnation, 'elsewhere' as DataCentreId));

	constructor(private readonly options: SimulatedFleetOptions) {
		this.organisations = options.organisations;
		for (let index = 0; index < options.instances; index += 1) {
			this.startNode(index);
		}
	}

	/** Starts instance `index`, in a new life if it had one that crashed or stopped. */
	startNode(index: number): void {
		this.lives += 1;
		const id = `entry-${index}` as InstanceId;
		const node = new SimulatedNode(id, `${id}.${this.lives}` as Incarnation, `centre-${index % dataCentreCount}` as DataCentreId);
		node.gate = this.options.createGate?.(this.clock, this.options.instances) ?? this.createBudget(node);
		this.nodes[index] = node;
	}

	/** Stops instance `index` as planned. */
	async stopNode(index: number): Promise<void> {
		const node = this.nodes[index];
		if (node?.gate instanceof FleetBudget) {
			await node.gate.stop();
		}

		node?.setState('crashed');
	}

	/** Puts other organisations in force on all instances that are live. */
	applyOrganisations(organisations: readonly ResolvedOrganisation[]): void {
		this.organisations = organisations;
		for (const {gate} of this.nodes) {
			if (gate instanceof FleetBudget) {
				gate.applyOrganisations(organisations);
			}
		}
	}

	/** Offers a request to instance `index`; resolves to the name of the refusal, or to undefined when it was admitted. */
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
					// What was used of an admitted request counts from its admission.
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
	 * Asks an instance for tokens as a holder that sits on them: it spends all of a grant at `spendAt`,
	 * or just before the end of its validity, and never reports.
	 */
	async hoardTokens(to: number, organisation: OrganisationId, tokens: number, spendAt: number): Promise<void> {
		const peer = this.nodes[to]?.id ?? '' as InstanceId;
		const sentAt = this.clock.readMonotonic();
		const request: ExchangeRequest = {
			role: 'coordinator', ledgerRevision: 0, reports: [], wants: [{organisation, tokens}],
		};
		const answer = await this.hoarderPeers.call<ExchangeAnswer>(peer, exchangeMethod, request, 1000).catch(() => undefined);
		for (const grant of answer?.grants ?? []) {
			const end = sentAt + grant.validMs - 1;
			void this.clock.sleep(Math.max(0, Math.min(end, spendAt) - this.clock.readMonotonic())).then(() => {
				if (this.clock.readMonotonic() <= end) {
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
		const clock = new SimulatedClock(this.clock, node, Math.floor(random() * largestOffsetMs));
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
			listLive: (_now: MonotonicMs) => this.nodes.filter(other => other === node || (this.isSeen(other) && !node.unseen.has(other.id))).map(describe),
		};
	}

	private isSeen(node: SimulatedNode): boolean {
		if (node.state === 'live') {
			node.lastLiveAt = this.clock.readMonotonic();
		}

		return this.clock.readMonotonic() - node.lastLiveAt < livenessMs;
	}

	private createPeers(node: SimulatedNode): PeerCaller {
		return {
			call: async <Result>(peer: InstanceId, method: string, parameters: unknown, timeoutMs: number) => {
				const {promise, resolve, reject} = createDeferred<Result>();
				void this.clock.sleep(timeoutMs).then(async () => {
					await node.waitUntilLive();
					reject(new Error('deadline passed'));
				});
				const text = JSON.stringify(parameters);
				void this.deliver(node, peer, method, text).then(async answer => {
					await node.waitUntilLive();
					if (answer !== undefined) {
						resolve(JSON.parse(answer) as Result);
					}
				});
				return promise;
			},
		};
	}

	/** Carries a message to its handler and the answer back; undefined when either is lost. */
	private async deliver(from: SimulatedNode, to: InstanceId, method: string, text: string): Promise<string | undefined> {
		const {random} = this.options;
		this.messages += 1;
		if (random() < this.faults.repeatedMessage) {
			void this.clock.sleep(random() * this.faults.lateMs).then(async () => this.handle(from, to, method, text));
		}

		const answer = await this.carry(async () => this.handle(from, to, method, text));
		return answer === undefined ? undefined : this.carry(async () => answer);
	}

	private async carry(deliver: () => Promise<string | undefined>): Promise<string | undefined> {
		const {random} = this.options;
		if (random() < this.faults.lostMessage) {
			return undefined;
		}

		await this.clock.sleep(latencyMs + (random() < this.faults.lateMessage ? random() * this.faults.lateMs : 0));
		return deliver();
	}

	private async handle(from: SimulatedNode, to: InstanceId, method: string, text: string): Promise<string | undefined> {
		const node = this.nodes.find(other => other.id === to);
		await node?.waitUntilLive();
		const handler = node?.handlers.get(method);
		return handler === undefined ? undefined : JSON.stringify(await handler(JSON.parse(text), from.id));
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
