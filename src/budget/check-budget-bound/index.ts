/** Runs a schedule of faults on a simulated fleet under load and measures admissions against the interval bound. */

import type {ResolvedOrganisation} from '../../configuration/configuration/index.js';
import type {OrganisationId} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import {createRandom} from '../create-random/index.js';
import {measureExcess} from '../measure-excess/index.js';
import {SimulatedFleet} from '../simulated-fleet/index.js';
import type {SimulatedNode} from '../simulated-node/index.js';

/**
 * One step of a schedule. After the fault is applied, the load runs for `durationMs` of virtual time.
 * `toggleVisibility` changes whether `from` sees `instance` as live. In `faults`, `message` and
 * `store` are the probabilities of faults of messages and store calls.
 */
export type FaultStep
	= | {readonly kind: 'run'; readonly durationMs: number}
		| {readonly kind: 'crash' | 'restart' | 'stop' | 'pause' | 'resume'; readonly instance: number; readonly durationMs: number}
		| {readonly kind: 'toggleVisibility'; readonly instance: number; readonly from: number; readonly durationMs: number}
		| {readonly kind: 'storeDown' | 'storeUp'; readonly durationMs: number}
		| {readonly kind: 'toggleStoreAccess'; readonly instance: number; readonly durationMs: number}
		| {readonly kind: 'faults'; readonly message: number; readonly store: number; readonly lateMs: number; readonly durationMs: number}
		| {readonly kind: 'resize'; readonly factor: number; readonly durationMs: number}
		| {readonly kind: 'removeOrganisation' | 'addOrganisation'; readonly durationMs: number};

/** Faults to apply one after the other, and the fleet to apply them to. */
export type FaultSchedule = {
	readonly seed: number;
	readonly instances: number;
	/** Time in which an empty bucket refills to the burst. A short time exposes grants that outlive their owner. */
	readonly burstMs: number;
	readonly steps: readonly FaultStep[];
};

/** Admissions measured while a schedule ran. */
export type BoundMeasurement = {
	/** Largest excess over the rate in any interval, as a share of the burst. */
	readonly excessShare: number;
	readonly admittedRequests: number;
	/** Admitted tokens as a share of the tokens that the rate allows over the whole run. */
	readonly utilisation: number;
	readonly messages: number;
	/** Revision of the ledger at the end, which grows as parts change owners. */
	readonly ledgerRevision: number;
};

const tokensPerSecond = 1000;
const organisationId = 'checked' as OrganisationId;
const requestIntervalMs = 40;
/** Steps longer than this have fewer and larger requests, so that they run faster. */
const longStepMs = 20_000;
const longStepRequestIntervalMs = 250;
/** Offered load as a multiple of the rate. */
const overloadFactor = 5;
const lateSpenderProbability = 0.08;
/** Length of a load cycle. At the start of each, new requests coincide with the late spending of held grants. */
const loadCycleMs = 4000;
const maximumBusyMs = 1500;

/** Runs a schedule. The result depends only on the schedule, including its seed. */
export async function checkBudgetBound(schedule: FaultSchedule, logger: EventLogger): Promise<BoundMeasurement> {
	const random = createRandom(schedule.seed);
	const baseOrganisation: ResolvedOrganisation = {
		id: organisationId, tokensPerSecond, burstTokens: tokensPerSecond * schedule.burstMs / 1000, weight: 1,
	};
	const fleet = new SimulatedFleet({
		random, instances: schedule.instances, organisations: [baseOrganisation], logger,
	});
	const start = fleet.clock.readMonotonic();
	for (const step of schedule.steps) {
		applyStep(fleet, step, baseOrganisation);
		await runLoad(fleet, random, baseOrganisation, step.durationMs);
	}

	await fleet.clock.advance(5000);
	const requests = fleet.admitted.get(organisationId) ?? [];
	const ledger = await fleet.store.get<{revision: number}>('budgetledgers', 'main').catch(() => undefined);
	const allowedTokens = (fleet.clock.readMonotonic() - start) / 1000 * tokensPerSecond;
	return {
		excessShare: measureExcess(requests, tokensPerSecond) / baseOrganisation.burstTokens,
		admittedRequests: requests.length, utilisation: requests.reduce((sum, {tokens}) => sum + tokens, 0) / allowedTokens,
		messages: fleet.messages, ledgerRevision: ledger?.value.revision ?? 0,
	};
}

type StepOf<Kind extends FaultStep['kind']> = FaultStep extends infer Step ? Step extends {kind: infer Kinds} ? Kind extends Kinds ? Step : never : never : never;
type StepHandlers = {readonly [Kind in FaultStep['kind']]: (fleet: SimulatedFleet, step: StepOf<Kind>, baseOrganisation: ResolvedOrganisation) => void};

const stepHandlers: StepHandlers = {
	run() {
		// No fault; only time passes.
	},
	crash(fleet, step) {
		findNode(fleet, step.instance).setState('crashed');
	},
	restart(fleet, step) {
		findNode(fleet, step.instance).setState('crashed');
		fleet.startNode(step.instance % fleet.nodes.length);
	},
	stop(fleet, step) {
		void fleet.stopNode(step.instance % fleet.nodes.length);
	},
	pause(fleet, step) {
		findNode(fleet, step.instance).setState('paused');
	},
	resume(fleet, step) {
		findNode(fleet, step.instance).setState('live');
	},
	toggleVisibility(fleet, step) {
		const {hiddenNodes} = findNode(fleet, step.from);
		const {id} = findNode(fleet, step.instance);
		if (!hiddenNodes.delete(id)) {
			hiddenNodes.add(id);
		}
	},
	storeDown(fleet) {
		fleet.store.setDown(true);
	},
	storeUp(fleet) {
		fleet.store.setDown(false);
	},
	toggleStoreAccess(fleet, step) {
		const node = findNode(fleet, step.instance);
		node.isStoreReachable = !node.isStoreReachable;
	},
	faults(fleet, step) {
		Object.assign(fleet.faults, {
			lostMessage: step.message, repeatedMessage: step.message, lateMessage: step.message,
			lateMs: step.lateMs, failedStoreCall: step.store, lostStoreAnswer: step.store,
		});
	},
	resize(fleet, step, baseOrganisation) {
		fleet.applyOrganisations([
			{...baseOrganisation, tokensPerSecond: tokensPerSecond * step.factor, burstTokens: baseOrganisation.burstTokens * step.factor},
		]);
	},
	removeOrganisation(fleet) {
		fleet.applyOrganisations([]);
	},
	addOrganisation(fleet, _step, baseOrganisation) {
		fleet.applyOrganisations([baseOrganisation]);
	},
};

function applyStep(fleet: SimulatedFleet, step: FaultStep, baseOrganisation: ResolvedOrganisation): void {
	const handleStep = stepHandlers[step.kind] as (fleet: SimulatedFleet, step: FaultStep, baseOrganisation: ResolvedOrganisation) => void;
	handleStep(fleet, step, baseOrganisation);
}

function findNode(fleet: SimulatedFleet, instance: number): SimulatedNode {
	const node = fleet.nodes[instance % fleet.nodes.length];
	if (node === undefined) {
		throw new Error(`the fleet has no instance ${instance}`);
	}

	return node;
}

/** In each load cycle, offers more than the rate and then nothing while buckets refill. Late spenders hold their grants until the next cycle. */
async function runLoad(fleet: SimulatedFleet, random: () => number, baseOrganisation: ResolvedOrganisation, durationMs: number): Promise<void> {
	const end = fleet.clock.readMonotonic() + durationMs;
	const intervalMs = durationMs > longStepMs ? longStepRequestIntervalMs : requestIntervalMs;
	const burstMs = baseOrganisation.burstTokens / tokensPerSecond * 1000;
	while (fleet.clock.readMonotonic() < end) {
		const elapsedInCycleMs = fleet.clock.readMonotonic() % loadCycleMs;
		const isBusy = elapsedInCycleMs < Math.min(burstMs, maximumBusyMs);
		const meanTokens = overloadFactor * tokensPerSecond / 1000 * intervalMs;
		const tokens = Math.min(2 * meanTokens * random(), baseOrganisation.burstTokens);
		const instance = Math.floor(random() * fleet.nodes.length);
		if (random() < lateSpenderProbability) {
			void fleet.simulateLateSpender(
				instance,
				organisationId,
				baseOrganisation.burstTokens * random(),
				fleet.clock.readMonotonic() - elapsedInCycleMs + loadCycleMs,
			);
		} else if (isBusy && fleet.nodes[instance]?.state === 'live') {
			void fleet.offerRequest(instance, {
				organisation: organisationId, tokens, usedTokens: random() < 0.7 ? tokens : tokens * random(),
				durationMs: random() < 0.1 ? undefined : random() * 3000,
			});
		}

		await fleet.clock.advance(Math.min(intervalMs, end - fleet.clock.readMonotonic()));
	}
}
