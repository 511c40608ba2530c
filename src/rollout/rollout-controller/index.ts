/** Rolls out the newest announced weights to the engines. Only the instance that holds the rollout lease does so. */

import type {Clock} from '../../clock/clock/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';
import type {Lease} from '../../leases/lease/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import {calculateLastOrderAt, maximumRenewalAgeMs, rolloutLeaseMs} from '../calculate-order-pause/index.js';
import type {EngineCommander} from '../engine-commander/index.js';
import {
	minimumCordonMs, planRollout, type RolloutPhase, type RolloutStep,
} from '../plan-rollout/index.js';

/** Name of the lease; stored in the object API and therefore stable. */
export const rolloutLeaseName = 'rollout';
/** Upper limit of the time without orders that is reported to the next holder. */
const maximumUnusedMs = 60_000;
/** Time that a stopping holder may take to finish a rollout in progress. */
const finishTimeoutMs = 2500;
const renewIntervalMs = 700;
/** Interval at which an instance without the lease tries to acquire it. */
const acquireIntervalMs = 700;
/** Interval at which the holder of the lease plans the rollout anew, and at which others check whether they hold it. */
const planIntervalMs = 100;
const idleCheckIntervalMs = 500;
/** Time for which an engine stays cordoned at all instances once it is ordered to load; each report of a load in progress renews the cordon. */
const loadCordonMs = 1500;

/** Notice to other instances of an engine's cordon and version. */
export type RolloutNotice = {
	readonly target: TargetId;
	/** Time for which the engine gets no new calls; 0 ends the cordon. */
	readonly cordonMs: number;
	readonly model: string;
	/** Current weights version of the engine. */
	readonly version: number;
};

/** Options of `RolloutController`. */
export type RolloutControllerOptions = {
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly lease: Lease;
	readonly fleet: TargetFleet;
	readonly commander: EngineCommander;
	/** Lists the newest announced version of each model. */
	readonly listDesiredVersions: () => ReadonlyMap<string, {readonly version: number}>;
	/** Whether this instance tries to acquire the lease. */
	readonly isContender: () => boolean;
	readonly announce: (notice: RolloutNotice) => void;
};

type EngineChange = {phase: RolloutPhase; readonly target: FleetTarget; readonly model: string; hasPendingRequest: boolean};

/** Contends for the rollout lease, and rolls out weights while it holds the lease. */
export class RolloutController {
	private readonly changes = new Map<TargetId, EngineChange>();
	/** Number of orders that each engine has accepted since its start. */
	private readonly acceptedOrders = new WeakMap<FleetTarget, number>();
	/** Last time at which this holder or one before it may have sent an order. */
	private lastOrderAt = -Infinity;
	private isHolder = false;
	private isStopping = false;

	constructor(private readonly options: RolloutControllerOptions) {}

	/** Runs until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all([this.contendForLease(signal), this.runRollouts(signal)]);
	}

	/** Waits up to `finishTimeoutMs` for a rollout in progress, then releases the lease. */
	async stop(): Promise<void> {
		const {clock, lease} = this.options;
		const deadline = clock.readMonotonic() + finishTimeoutMs;
		while (this.isHolder && this.changes.size > 0 && clock.readMonotonic() < deadline) {
			await clock.sleep(planIntervalMs);
		}

		this.isStopping = true;
		this.isHolder = false;
		await lease.release(Math.min(maximumUnusedMs, clock.readMonotonic() - this.lastOrderAt));
	}

	dump(): unknown {
		return {isHolder: this.isHolder, changes: [...this.changes].map(([target, {phase}]) => ({target, ...phase}))};
	}

	private async contendForLease(signal: AbortSignal): Promise<void> {
		const {clock, isContender} = this.options;
		while (!signal.aborted) {
			if (!this.isStopping && (this.isHolder || isContender())) {
				await this.acquireOrRenewLease();
			}

			await clock.sleep(this.isHolder ? renewIntervalMs : acquireIntervalMs, signal);
		}
	}

	private async acquireOrRenewLease(): Promise<void> {
		const {clock, lease, logger} = this.options;
		try {
			const isHeld = await lease.acquire();
			if (isHeld && !this.isHolder) {
				this.recordAcquisition(clock.readMonotonic());
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

	private recordAcquisition(now: MonotonicMs): void {
		const {lease, logger} = this.options;
		const predecessor = lease.readPredecessor();
		const usableFrom = lease.readUsableFrom();
		if (predecessor !== undefined) {
			this.lastOrderAt = Math.max(this.lastOrderAt, calculateLastOrderAt(predecessor, usableFrom, now));
		}

		logger.info('rollout lease acquired', {
			fencing: lease.readFencing(), pauseMs: Math.max(0, Math.round(usableFrom - now)), previousHolder: predecessor?.holder,
		});
	}

	/** Whether an order may be sent at `now`. Call it immediately before an order is sent. */
	private mayOrder(now: MonotonicMs): boolean {
		const {lease} = this.options;
		const expiry = lease.readExpiry();
		return this.isHolder && !this.isStopping && expiry !== undefined
			&& now >= lease.readUsableFrom() && expiry - now > rolloutLeaseMs - maximumRenewalAgeMs;
	}

	private async runRollouts(signal: AbortSignal): Promise<void> {
		const {clock, listDesiredVersions} = this.options;
		while (!signal.aborted) {
			const now = clock.readMonotonic();
			if (this.mayOrder(now)) {
				for (const [model, {version}] of listDesiredVersions()) {
					this.advanceRollout(model, version, now);
				}
			}

			await clock.sleep(this.isHolder ? planIntervalMs : idleCheckIntervalMs, signal);
		}
	}

	private advanceRollout(model: string, desiredVersion: number, now: MonotonicMs): void {
		this.discardStaleChanges();
		const targets = this.listEngines(model);
		const engines = targets.map(target => ({
			id: target.description.id,
			version: target.readVersion(model)!,
			callsInFlight: target.calls.size,
			phase: this.changes.get(target.description.id)?.phase,
		}));
		for (const step of planRollout(engines, desiredVersion, now)) {
			const target = this.options.fleet.locate(step.id);
			if (target !== undefined) {
				this.performStep(step, target, model, desiredVersion);
			}
		}
	}

	/** Discards changes of engines that have left the fleet or restarted. */
	private discardStaleChanges(): void {
		for (const [id, {target}] of this.changes) {
			if (this.options.fleet.locate(id) !== target) {
				this.changes.delete(id);
			}
		}
	}

	private listEngines(model: string): FleetTarget[] {
		return [...this.options.fleet.list()].filter(target => !target.isLeaving && target.readVersion(model) !== undefined);
	}

	private performStep(step: RolloutStep, target: FleetTarget, model: string, desiredVersion: number): void {
		const {id} = target.description;
		const now = this.options.clock.readMonotonic();
		switch (step.type) {
			case 'cordon': {
				this.changes.set(id, {
					phase: {type: 'cordoned', since: now}, target, model, hasPendingRequest: false,
				});
				this.setCordon(target, model, minimumCordonMs + loadCordonMs);
				if (!this.acceptedOrders.has(target)) {
					void this.readReport(target);
				}

				return;
			}

			case 'release': {
				this.changes.delete(id);
				this.setCordon(target, model, 0);
				this.options.logger.info('engine released', {target: id, model, version: target.readVersion(model)});
				return;
			}

			case 'order': {
				void this.sendOrder(target, model, desiredVersion);
				return;
			}

			case 'report': {
				void this.readReport(target);
			}
		}
	}

	private async sendOrder(target: FleetTarget, model: string, version: number): Promise<void> {
		const {clock, lease, commander, logger} = this.options;
		const change = this.changes.get(target.description.id);
		const fencing = lease.readFencing();
		if (change === undefined || change.hasPendingRequest || fencing === undefined) {
			return;
		}

		change.hasPendingRequest = true;
		const expectedOrders = this.acceptedOrders.get(target) ?? 0;
		this.lastOrderAt = clock.readMonotonic();
		const outcome = await commander.order(target, {
			model, version, fencing, expectedOrders,
		});
		logger.info('weights ordered', {
			target: target.description.id, model, version, fencing, expectedOrders, outcome,
		});
		change.hasPendingRequest = false;
		if (outcome === 'accepted' || outcome === 'alreadyDone') {
			this.acceptedOrders.set(target, outcome === 'accepted' ? expectedOrders + 1 : expectedOrders);
			change.phase = {type: 'loading', since: clock.readMonotonic(), version};
			this.setCordon(target, model, loadCordonMs);
		} else if (outcome === 'unreachable' || outcome === 'gone') {
			change.phase = {type: 'unreachable', since: clock.readMonotonic()};
		} else {
			await this.readReport(target);
		}
	}

	private async readReport(target: FleetTarget): Promise<void> {
		const change = this.changes.get(target.description.id);
		if (change === undefined || change.hasPendingRequest) {
			return;
		}

		change.hasPendingRequest = true;
		const report = await this.options.commander.readReport(target);
		change.hasPendingRequest = false;
		if (report === undefined) {
			return;
		}

		this.acceptedOrders.set(target, report.acceptedOrders);
		if (report.isChanging) {
			if (change.phase.type === 'loading') {
				change.phase = {...change.phase, reportedAt: this.options.clock.readMonotonic()};
			}

			this.setCordon(target, change.model, loadCordonMs);
			return;
		}

		for (const [model, version] of report.versions) {
			target.recordVersion(model, version);
		}
	}

	/** Sets the cordon here and at other instances; 0 ends it. */
	private setCordon(target: FleetTarget, model: string, durationMs: number): void {
		const {clock, fleet, announce} = this.options;
		target.cordonedUntil = clock.readMonotonic() + durationMs;
		announce({
			target: target.description.id, cordonMs: durationMs, model, version: target.readVersion(model) ?? 0,
		});
		if (durationMs === 0) {
			fleet.notify();
		}
	}
}
