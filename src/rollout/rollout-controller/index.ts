/** Brings engines to the newest named weights, from the one instance that holds the lease for it. */

import type {Clock} from '../../clock/clock/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {FencingNumber, MonotonicMs, TargetId} from '../../identity/ids/index.js';
import type {Lease, LeaseRecord} from '../../leases/lease/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import {
	cordonMs, planRollout, type RolloutPhase, type RolloutStep,
} from '../plan-rollout/index.js';

/** Lasting name of the lease. */
export const rolloutLeaseName = 'rollout';
/** Validity of the lease, in milliseconds. */
export const rolloutLeaseMs = 3000;
/** Age of the last confirmed renewal up to which orders are given, in milliseconds; a successor starts that much earlier. */
const orderValidityMs = 1500;
/** Least time between the orders of two holders, in milliseconds. */
const orderPauseMs = rolloutLeaseMs;
const marginMs = 400;
/** Time without orders that is told to the next holder at most, in milliseconds. */
const longestUnusedMs = 60_000;
/** Time for which a stopping holder goes on with a rollout, in milliseconds. */
const finishMs = 2500;
const renewIntervalMs = 700;
/** Pause between two attempts of a contender, in milliseconds. */
const contendIntervalMs = 700;
/** Pause between two plans while engines are changing, in milliseconds. */
const stepIntervalMs = 100;
/** Time for which other instances keep calls away from an engine that is ordered to load, in milliseconds. */
const loadCordonMs = 1500;

/** How an engine answered an order. `unreachable`: it cannot have received the order; `unknown`: it may carry it out later. */
export type OrderOutcome = 'accepted' | 'alreadyDone' | 'conflict' | 'refused' | 'gone' | 'unreachable' | 'unknown';

/** An order to load weights. */
export type WeightsOrder = {
	readonly model: string;
	readonly version: number;
	readonly fencing: FencingNumber;
	/** The engine refuses the order when it has accepted another number of orders; a late copy can then do no harm. */
	readonly expectedOrders: number;
};

/** What an engine reports of itself. */
export type EngineReport = {readonly versions: ReadonlyMap<string, number>; readonly acceptedOrders: number; readonly isChanging: boolean};

/** Sends orders to engines. */
export type EngineCommander = {
	order(target: FleetTarget, order: WeightsOrder): Promise<OrderOutcome>;
	/** Undefined when the engine does not answer. */
	readReport(target: FleetTarget): Promise<EngineReport | undefined>;
};

/** Tells other instances what the rollout does to an engine. */
export type RolloutNotice = {
	readonly target: TargetId;
	/** Time for which new calls stay away, in milliseconds; 0 lets them come again. */
	readonly cordonMs: number;
	readonly model: string;
	/** Version that the engine has now. */
	readonly version: number;
};

/** What the controller needs. */
export type RolloutControllerOptions = {
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly lease: Lease;
	readonly fleet: TargetFleet;
	readonly commander: EngineCommander;
	/** Newest version by model. */
	readonly listWanted: () => ReadonlyMap<string, {readonly version: number}>;
	/** Whether this instance tries to acquire the lease. */
	readonly isContender: () => boolean;
	readonly announce: (notice: RolloutNotice) => void;
};

type Change = {phase: RolloutPhase; readonly target: FleetTarget; readonly model: string; isBusy: boolean};

/** The task that contends for the lease and rolls weights out while it has it. */
export class RolloutController {
	private readonly changes = new Map<TargetId, Change>();
	/** Orders that each engine has accepted in its present life. */
	private readonly acceptedOrders = new WeakMap<FleetTarget, number>();
	private mayOrderAt = 0;
	private lastOrderAt = -Infinity;
	private isHolder = false;
	private isStopping = false;

	constructor(private readonly options: RolloutControllerOptions) {}

	/** Runs until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all([this.contend(signal), this.work(signal)]);
	}

	/** Finishes a rollout in progress if that takes little time, then lets another instance take over. */
	async stop(): Promise<void> {
		const {clock, lease} = this.options;
		const end = clock.readMonotonic() + finishMs;
		while (this.isHolder && this.changes.size > 0 && clock.readMonotonic() < end) {
			await clock.sleep(stepIntervalMs);
		}

		this.isStopping = true;
		this.isHolder = false;
		await lease.release(Math.min(longestUnusedMs, clock.readMonotonic() - this.lastOrderAt));
	}

	dump(): unknown {
		return {isHolder: this.isHolder, changes: [...this.changes].map(([target, {phase}]) => ({target, ...phase}))};
	}

	private async contend(signal: AbortSignal): Promise<void> {
		const {clock, isContender} = this.options;
		while (!signal.aborted) {
			if (!this.isStopping && (this.isHolder || isContender())) {
				await this.tryLease();
			}

			await clock.sleep(this.isHolder ? renewIntervalMs : contendIntervalMs, signal);
		}
	}

	private async tryLease(): Promise<void> {
		const {clock, lease, logger} = this.options;
		try {
			const isHeld = await lease.acquire();
			if (isHeld && !this.isHolder) {
				const fencing = lease.readFencing();
				const pauseMs = calculatePause(lease.readPredecessor());
				this.mayOrderAt = clock.readMonotonic() + pauseMs;
				logger.info('rollout lease acquired', {fencing, pauseMs});
			} else if (!isHeld && this.isHolder) {
				logger.warn('rollout lease lost');
			}

			this.isHolder = isHeld;
		} catch (error) {
			if (this.isHolder && !lease.isHeld(clock.readMonotonic())) {
				this.isHolder = false;
				logger.warn('rollout lease lost', {reason: (error as Error).message});
			}
		}
	}

	/** Whether an order may be sent at `now`; to be asked immediately before sending. */
	private mayOrder(now: MonotonicMs): boolean {
		const expiry = this.options.lease.readExpiry();
		return this.isHolder && !this.isStopping && expiry !== undefined
			&& now >= this.mayOrderAt && expiry - now > rolloutLeaseMs - orderValidityMs;
	}

	private async work(signal: AbortSignal): Promise<void> {
		const {clock, listWanted} = this.options;
		while (!signal.aborted) {
			const now = clock.readMonotonic();
			if (this.mayOrder(now)) {
				for (const [model, {version}] of listWanted()) {
					this.step(model, version, now);
				}
			}

			await clock.sleep(stepIntervalMs, signal);
		}
	}

	private step(model: string, wanted: number, now: MonotonicMs): void {
		this.forgetRestarted();
		const targets = this.listEngines(model);
		const engines = targets.map(target => ({
			id: target.description.id,
			version: target.readVersion(model)!,
			calls: target.calls.size,
			phase: this.changes.get(target.description.id)?.phase,
		}));
		for (const step of planRollout(engines, wanted, now)) {
			const target = this.options.fleet.locate(step.id);
			if (target !== undefined) {
				this.perform(step, target, model, wanted);
			}
		}
	}

	/** Drops what was begun with engines that are gone or have another life by now. */
	private forgetRestarted(): void {
		for (const [id, {target}] of this.changes) {
			if (this.options.fleet.locate(id) !== target) {
				this.changes.delete(id);
			}
		}
	}

	private listEngines(model: string): FleetTarget[] {
		return [...this.options.fleet.list()].filter(target => !target.description.isLeaving && target.readVersion(model) !== undefined);
	}

	private perform(step: RolloutStep, target: FleetTarget, model: string, wanted: number): void {
		const {id} = target.description;
		const now = this.options.clock.readMonotonic();
		switch (step.type) {
			case 'cordon': {
				this.changes.set(id, {
					phase: {type: 'cordoned', since: now}, target, model, isBusy: false,
				});
				this.notify(target, model, cordonMs + loadCordonMs);
				if (!this.acceptedOrders.has(target)) {
					void this.readReport(target);
				}

				return;
			}

			case 'release': {
				this.changes.delete(id);
				this.notify(target, model, 0);
				this.options.logger.info('engine released', {target: id, model, version: target.readVersion(model)});
				return;
			}

			case 'order': {
				void this.order(target, model, wanted);
				return;
			}

			case 'report': {
				void this.readReport(target);
			}
		}
	}

	private async order(target: FleetTarget, model: string, version: number): Promise<void> {
		const {clock, lease, commander, logger} = this.options;
		const change = this.changes.get(target.description.id);
		const fencing = lease.readFencing();
		if (change === undefined || change.isBusy || fencing === undefined) {
			return;
		}

		change.isBusy = true;
		const expectedOrders = this.acceptedOrders.get(target) ?? 0;
		this.lastOrderAt = clock.readMonotonic();
		const outcome = await commander.order(target, {
			model, version, fencing, expectedOrders,
		});
		logger.info('weights ordered', {
			target: target.description.id, model, version, fencing, expectedOrders, outcome,
		});
		change.isBusy = false;
		if (outcome === 'accepted' || outcome === 'alreadyDone') {
			this.acceptedOrders.set(target, outcome === 'accepted' ? expectedOrders + 1 : expectedOrders);
			change.phase = {type: 'loading', since: clock.readMonotonic(), version};
			this.notify(target, model, loadCordonMs);
		} else if (outcome === 'unreachable' || outcome === 'gone') {
			change.phase = {type: 'unreachable', since: clock.readMonotonic()};
		} else {
			await this.readReport(target);
		}
	}

	private async readReport(target: FleetTarget): Promise<void> {
		const change = this.changes.get(target.description.id);
		if (change === undefined || change.isBusy) {
			return;
		}

		change.isBusy = true;
		const report = await this.options.commander.readReport(target);
		change.isBusy = false;
		if (report === undefined) {
			return;
		}

		this.acceptedOrders.set(target, report.acceptedOrders);
		if (report.isChanging) {
			this.notify(target, change.model, loadCordonMs);
			return;
		}

		for (const [model, version] of report.versions) {
			target.noteVersion(model, version);
		}
	}

	private notify(target: FleetTarget, model: string, forMs: number): void {
		const {clock, fleet, announce} = this.options;
		target.cordonedUntil = clock.readMonotonic() + forMs;
		announce({
			target: target.description.id, cordonMs: forMs, model, version: target.readVersion(model) ?? 0,
		});
		if (forMs === 0) {
			fleet.notify();
		}
	}
}

/** Time that a new holder waits before its first order. A holder that did not release its lease may have given orders until shortly before its end. */
function calculatePause(predecessor: LeaseRecord | undefined): number {
	if (predecessor === undefined) {
		return 0;
	}

	return predecessor.holder === ''
		? Math.max(0, orderPauseMs - (predecessor.unusedMs ?? 0) + marginMs)
		: orderPauseMs + orderValidityMs + marginMs - rolloutLeaseMs;
}
