/** Runs a random course of faults over a simulated fleet and measures the interval bound. */

import type {ResolvedOrganisation} from '../../configuration/configuration/index.js';
import type {OrganisationId} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import {createRandom} from '../create-random/index.js';
import {measureExcess} from '../interval-meter/index.js';
import {SimulatedFleet} from '../simulated-fleet/index.js';
import type {SimulatedNode} from '../simulated-node/index.js';

/** One step of a course; each takes `forMs` of virtual time under full load. */
export type FaultStep
	= | {readonly kind: 'run'; readonly forMs: number}
		| {readonly kind: 'crash' | 'restart' | 'stop' | 'pause' | 'resume'; readonly instance: number; readonly forMs: number}
		| {readonly kind: 'hide'; readonly instance: number; readonly from: number; readonly forMs: number}
		| {readonly kind: 'storeDown' | 'storeUp'; readonly forMs: number}
		| {readonly kind: 'cutStore'; readonly instance: number; readonly forMs: number}
		| {readonly kind: 'faults'; readonly message: number; readonly store: number; readonly lateMs: number; readonly forMs: number}
		| {readonly kind: 'resize'; readonly factor: number; readonly forMs: number}
		| {readonly kind: 'removeOrganisation' | 'addOrganisation'; readonly forMs: number};

/** A course of faults. */
export type FaultCourse = {
	readonly seed: number;
	readonly instances: number;
	/** Time in which the burst is earned; short ones expose grants that outlive their owner. */
	readonly burstMs: number;
	readonly steps: readonly FaultStep[];
};

/** What a course showed. */
export type BoundFigures = {
	/** Largest excess over the rate in any interval, as a share of the burst. */
	readonly excess: number;
	readonly admitted: number;
	/** Admitted tokens as a share of what the rate allows over the course. */
	readonly use: number;
	readonly messages: number;
	/** Parts moved to another owner: the revision of the ledger. */
	readonly ledgerRevision: number;
};

const tokensPerSecond = 1000;
const organisationId = 'checked' as OrganisationId;
const offerIntervalMs = 40;
/** Steps longer than this have fewer and larger requests, to save time. */
const longStepMs = 20_000;
const longIntervalMs = 250;
const overload = 5;
const hoardChance = 0.08;
/** Grants that are held back and the load meet at the start of each cycle. */
const cycleMs = 4000;
const longestBusyMs = 1500;

/** Runs a course; all of it is decided by its seed. */
export async function checkBudgetBound(course: FaultCourse, logger: EventLogger): Promise<BoundFigures> {
	const random = createRandom(course.seed);
	const full: ResolvedOrganisation = {
		id: organisationId, tokensPerSecond, burstTokens: tokensPerSecond * course.burstMs / 1000, weight: 1,
	};
	const fleet = new SimulatedFleet({
		random, instances: course.instances, organisations: [full], logger,
	});
	const start = fleet.clock.readMonotonic();
	for (const step of course.steps) {
		applyStep(fleet, step, full);
		await runLoad(fleet, random, full, step.forMs);
	}

	await fleet.clock.advance(5000);
	const requests = fleet.admitted.get(organisationId) ?? [];
	const ledger = await fleet.store.get<{revision: number}>('budgetledgers', 'main').catch(() => undefined);
	const allowed = (fleet.clock.readMonotonic() - start) / 1000 * tokensPerSecond;
	return {
		excess: measureExcess(requests, tokensPerSecond) / full.burstTokens,
		admitted: requests.length, use: requests.reduce((sum, {tokens}) => sum + tokens, 0) / allowed,
		messages: fleet.messages, ledgerRevision: ledger?.value.revision ?? 0,
	};
}

type StepOf<Kind extends FaultStep['kind']> = FaultStep extends infer Step ? Step extends {kind: infer Kinds} ? Kind extends Kinds ? Step : never : never : never;
type StepHandlers = {readonly [Kind in FaultStep['kind']]: (fleet: SimulatedFleet, step: StepOf<Kind>, full: ResolvedOrganisation) => void};

const handlers: StepHandlers = {
	run() {
		// Only time passes.
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
	hide(fleet, step) {
		const {unseen} = findNode(fleet, step.from);
		const {id} = findNode(fleet, step.instance);
		if (!unseen.delete(id)) {
			unseen.add(id);
		}
	},
	storeDown(fleet) {
		fleet.store.setDown(true);
	},
	storeUp(fleet) {
		fleet.store.setDown(false);
	},
	cutStore(fleet, step) {
		const node = findNode(fleet, step.instance);
		node.isStoreReachable = !node.isStoreReachable;
	},
	faults(fleet, step) {
		Object.assign(fleet.faults, {
			lostMessage: step.message, repeatedMessage: step.message, lateMessage: step.message, lateMs: step.lateMs,
			failedStoreCall: step.store, lostStoreAnswer: step.store,
		});
	},
	resize(fleet, step, full) {
		fleet.applyOrganisations([{...full, tokensPerSecond: tokensPerSecond * step.factor, burstTokens: full.burstTokens * step.factor}]);
	},
	removeOrganisation(fleet) {
		fleet.applyOrganisations([]);
	},
	addOrganisation(fleet, _step, full) {
		fleet.applyOrganisations([full]);
	},
};

function applyStep(fleet: SimulatedFleet, step: FaultStep, full: ResolvedOrganisation): void {
	const apply = handlers[step.kind] as (fleet: SimulatedFleet, step: FaultStep, full: ResolvedOrganisation) => void;
	apply(fleet, step, full);
}

function findNode(fleet: SimulatedFleet, instance: number): SimulatedNode {
	const node = fleet.nodes[instance % fleet.nodes.length];
	if (node === undefined) {
		throw new Error(`the fleet has no instance ${instance}`);
	}

	return node;
}

/** Offers much more than the rate, then nothing until buckets fill again, while a holder sits on grants until the next load. */
async function runLoad(fleet: SimulatedFleet, random: () => number, full: ResolvedOrganisation, forMs: number): Promise<void> {
	const end = fleet.clock.readMonotonic() + forMs;
	const intervalMs = forMs > longStepMs ? longIntervalMs : offerIntervalMs;
	const burstMs = full.burstTokens / tokensPerSecond * 1000;
	while (fleet.clock.readMonotonic() < end) {
		const sinceCycle = fleet.clock.readMonotonic() % cycleMs;
		const isBusy = sinceCycle < Math.min(burstMs, longestBusyMs);
		const mean = overload * tokensPerSecond / 1000 * intervalMs;
		const tokens = Math.min(2 * mean * random(), full.burstTokens);
		const instance = Math.floor(random() * fleet.nodes.length);
		if (random() < hoardChance) {
			void fleet.hoardTokens(instance, organisationId, full.burstTokens * random(), fleet.clock.readMonotonic() - sinceCycle + cycleMs);
		} else if (isBusy && fleet.nodes[instance]?.state === 'live') {
			void fleet.offerRequest(instance, {
				organisation: organisationId, tokens, usedTokens: random() < 0.7 ? tokens : tokens * random(),
				durationMs: random() < 0.1 ? undefined : random() * 3000,
			});
		}

		await fleet.clock.advance(Math.min(intervalMs, end - fleet.clock.readMonotonic()));
	}
}
