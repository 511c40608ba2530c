/** Rollouts of software versions on one instance: knows the orders, collects evidence, judges versions, and plans as the lease holder. */

import type {Clock} from '../../clock/clock/index.js';
import {readInstant} from '../../clock/instant/index.js';
import {Wakeup} from '../../clock/wakeup/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {VersionRouting} from '../../forwarding/version-routing/index.js';
import type {
	Incarnation, InstanceId, MonotonicMs, ResourceVersion, SoftwareVersion,
} from '../../identity/ids/index.js';
import type {Lease} from '../../leases/lease/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import type {DatagramTransport} from '../../peers/datagram-channel/index.js';
import {chooseContenders} from '../../rollout/choose-contenders/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import type {StoredObject} from '../../store/object-api/index.js';
import {assessStop, manyBadAnswers} from '../assess-stop/index.js';
import {describeBadVersion} from '../describe-bad-version/index.js';
import {isStatusLost, isStoredStatusOlder, lostStatusDelayMs} from '../is-status-lost/index.js';
import {countBadAnswers} from '../judge-version/index.js';
import {logRolloutChanges} from '../log-rollout-changes/index.js';
import {OrderRegister, type KnownRollout} from '../order-register/index.js';
import {planStage, type StagePlan} from '../plan-stage/index.js';
import {EvidenceStore} from '../rollout-evidence/index.js';
import {contenderCount, RolloutExchange} from '../rollout-exchange/index.js';
import {RolloutHolder} from '../rollout-holder/index.js';
import {RolloutRouting} from '../rollout-routing/index.js';
import {
	formatOrderKey, type RolloutBounds, type RolloutObject, type RolloutStatus,
} from '../rollout-types/index.js';

/** Interval at which evidence is sent and judged, and stages are planned, while an order is in progress, in milliseconds. */
const stepIntervalMs = 150;
/** The same in stage `shift`, in which a bad version gets many calls. */
const shiftStepIntervalMs = 75;
/** Longest wait for a change while no order is in progress, in milliseconds. */
const idleIntervalMs = 60_000;
/** Time after the start in which this instance may not know all targets yet, in milliseconds. */
const fleetReadMs = 3000;

/** Options of the rollouts. */
export type SoftwareRolloutsOptions = {
	readonly self: InstanceId;
	readonly incarnation: Incarnation;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly fleet: Pick<TargetFleet, 'list' | 'listServing' | 'notify'>;
	readonly channel: DatagramTransport;
	readonly lease: Lease;
	/** Live instances, including this one. */
	readonly listLive: () => readonly Member[];
	readonly readBounds: () => RolloutBounds;
	/** Writes the status of an order. */
	readonly writeStatus: (rollout: KnownRollout, status: RolloutStatus) => Promise<StoredObject>;
};

/** All rollouts, as one instance takes part in them. */
export class SoftwareRollouts {
	readonly routing: VersionRouting;
	readonly gauges = {
		software_rollouts_in_progress: {help: 'Orders of software versions that are neither completed nor rolled back.', read: () => this.listActive().length},
		software_rollouts_stopped: {
			help: 'Orders whose version is judged to be bad.', read: () => this.orders.list().filter(({stopReason}) => stopReason !== undefined).length,
		},
		software_rollout_bad_answers: {help: 'Bad answers of new software versions, as far as this instance has heard.', read: () => this.countBadAnswers()},
		software_rollout_lease: {help: '1 if this instance decides on software rollouts.', read: () => Number(this.holder.mayWrite(this.options.clock.readMonotonic()))},
	};

	private readonly orders: OrderRegister;
	private readonly evidence = new EvidenceStore();
	private readonly rolloutRouting: RolloutRouting;
	private readonly exchange: RolloutExchange;
	private readonly holder: RolloutHolder;
	private readonly stepWakeup = new Wakeup();
	private readonly holderWakeup = new Wakeup();
	private readonly startedAt: MonotonicMs;

	constructor(private readonly options: SoftwareRolloutsOptions) {
		const {clock, lease, self, listLive} = options;
		this.startedAt = clock.readMonotonic();
		this.orders = new OrderRegister(service => this.listVersions(service));
		this.rolloutRouting = new RolloutRouting({...options, orders: this.orders, evidence: this.evidence});
		this.routing = this.rolloutRouting;
		this.exchange = new RolloutExchange({
			...options, evidence: this.evidence,
			findRollout: ({service, order}) => {
				const rollout = this.orders.find(service);
				return rollout?.number === order ? rollout : undefined;
			},
			onAge: (rollout, ageMs) => {
				this.orders.raiseAge(rollout, ageMs, clock.readMonotonic());
			},
			onStop: (rollout, {reason, from}) => {
				this.stopSending(rollout, reason, from);
			},
			onStatus: (rollout, {status}) => {
				rollout.heardAt = clock.readMonotonic();
				if (status.write > (rollout.status?.write ?? 0)) {
					this.observe(() => {
						this.orders.adoptStatus(rollout, status, clock.readMonotonic());
					});
				}
			},
		});
		this.holder = new RolloutHolder({
			...options, lease, wakeup: this.holderWakeup,
			isContender: () => chooseContenders(listLive(), contenderCount).some(({id}) => id === self),
			hasWork: () => this.listActive().length > 0,
			write: options.writeStatus,
			onWritten: (rollout, status, object) => {
				this.applyWritten(rollout, status, object);
			},
		});
	}

	/** Runs until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all([this.holder.run(signal), this.runSteps(signal)]);
	}

	/** Hands the lease over; the evidence is sent until the process ends. */
	async stop(): Promise<void> {
		await this.holder.stop();
	}

	/** Takes over the stored orders; `version` is that of the collection. */
	replaceStored(objects: readonly RolloutObject[], version: ResourceVersion): void {
		this.observe(() => {
			this.orders.replace(objects, version, readInstant(this.options.clock));
		});
	}

	/** Describes the rollouts for a dump. */
	dump(): unknown {
		const now = this.options.clock.readMonotonic();
		const rollouts = this.orders.list().map(rollout => ({
			service: rollout.order.service, target: rollout.order.target, durationMs: rollout.order.durationMs, order: rollout.number,
			ageMs: Math.round(now - rollout.startedAt), previous: rollout.previous, excluded: this.orders.listExcluded(rollout.order.service),
			status: rollout.status, isListed: rollout.isListed, stopReason: rollout.stopReason, share: this.rolloutRouting.measureShare(rollout),
			callsLeft: this.rolloutRouting.countCallsLeft(rollout), evidence: this.evidence.get(rollout).fleet.dump(),
		}));
		return {...this.holder.dump() as object, isCollector: this.exchange.isCollector, rollouts};
	}

	private async runSteps(signal: AbortSignal): Promise<void> {
		const {clock} = this.options;
		while (!signal.aborted) {
			const active = this.listActive();
			for (const rollout of active) {
				this.step(rollout, clock.readMonotonic());
			}

			const intervalMs = active.some(({status}) => status?.stage === 'shift') ? shiftStepIntervalMs : stepIntervalMs;
			await (active.length > 0 ? clock.sleep(intervalMs, signal) : this.waitForWork(signal));
		}
	}

	/** Waits for a change. If the store lacks a known status, waits only until that status counts as lost. */
	private async waitForWork(signal: AbortSignal): Promise<void> {
		const isStoreBehind = this.orders.list().some(rollout => isStoredStatusOlder(rollout));
		const isNotified = await this.stepWakeup.wait(this.options.clock, isStoreBehind ? lostStatusDelayMs : idleIntervalMs, signal);
		if (!isNotified && this.listActive().length > 0) {
			this.holderWakeup.notify();
		}
	}

	private step(rollout: KnownRollout, now: MonotonicMs): void {
		this.exchange.report(rollout, this.rolloutRouting.countCallsLeft(rollout), rollout.status?.stage === 'shift');
		if (this.exchange.isCollector && rollout.stopReason === undefined) {
			this.judge(rollout, now);
		}

		if (this.holder.mayWrite(now)) {
			rollout.heardAt = now;
			this.exchange.remindOfStatus(rollout, now);
			this.writeNext(rollout, now);
		}
	}

	private judge(rollout: KnownRollout, now: MonotonicMs): void {
		const evidence = this.evidence.get(rollout);
		const spans = evidence.fleet.listSpans(now);
		if (countBadAnswers(spans.at(-1)!) >= manyBadAnswers) {
			evidence.manyBadSince ??= now;
		}

		const bad = assessStop({spans, manyBadSince: evidence.manyBadSince, rollbackMs: this.options.readBounds().rollbackMs}, now);
		if (bad === undefined) {
			return;
		}

		const reason = describeBadVersion(bad);
		if (this.stopSending(rollout, reason, this.options.self)) {
			this.exchange.announceStop(rollout, reason);
		}
	}

	/** Sends no more calls to the version. Returns whether that is new. */
	private stopSending(rollout: KnownRollout, reason: string, from: InstanceId): boolean {
		const isNew = this.orders.stop(rollout, reason);
		if (isNew) {
			const {service, target} = rollout.order;
			this.options.logger.warn('software rollout stopped', {
				service, target, order: rollout.number, from, reason,
			});
			this.options.fleet.notify();
		}

		return isNew;
	}

	private writeNext(rollout: KnownRollout, now: MonotonicMs): void {
		const {status} = rollout;
		const plan = this.plan(rollout, now);
		const previous = this.findPrevious(rollout, now);
		if (plan !== undefined && previous !== undefined) {
			void this.holder.write(rollout, this.buildStatus(rollout, {...plan, previous}, now));
		} else if (status !== undefined && isStatusLost(rollout, now)) {
			void this.holder.write(rollout, {...status, write: status.write + 1, ageMs: Math.round(now - rollout.startedAt)});
		}
	}

	private plan(rollout: KnownRollout, now: MonotonicMs): StagePlan | undefined {
		const {order, status, startedAt, stageSince, stopReason} = rollout;
		const {fleet} = this.evidence.get(rollout);
		const {sent, answers} = fleet.sumNew();
		const versions = this.listVersions(order.service);
		const callsLeft = fleet.countCallsLeft(this.options.listLive().map(({id}) => id), status?.write ?? 0, now);
		return planStage({
			durationMs: order.durationMs, ageMs: now - startedAt, status, stageAgeMs: now - stageSince, bounds: this.options.readBounds(), stopReason,
			requests: fleet.countRequests(), newRequests: sent, newAnswers: answers, ...fleet.estimateDurations(),
			hasNewTargets: versions.includes(order.target), hasPreviousTargets: versions.some(version => version !== order.target),
			callsLeft: callsLeft.count, haveAllStated: callsLeft.haveAllStated,
		});
	}

	/** Finds the versions that served before the order; undefined while this instance may not know the targets yet. */
	private findPrevious({order: {service, target}, previous}: KnownRollout, now: MonotonicMs): readonly SoftwareVersion[] | undefined {
		const present = this.listVersions(service).filter(version => version !== target && !this.orders.isExcluded(service, version));
		return previous ?? (present.length > 0 || now - this.startedAt >= fleetReadMs ? present : undefined);
	}

	private buildStatus(rollout: KnownRollout, plan: StagePlan & {readonly previous: readonly SoftwareVersion[]}, now: MonotonicMs): RolloutStatus {
		const {order, number, status, storedStatus, startedAt, orderedAt} = rollout;
		const storedWrite = storedStatus?.order === number ? storedStatus.write : 0;
		return {
			...plan, target: order.target, order: number, orderKey: formatOrderKey(order), write: Math.max(status?.write ?? 0, storedWrite) + 1,
			excluded: this.orders.listExcluded(order.service), ageMs: Math.round(now - startedAt), orderedAt,
		};
	}

	private applyWritten({objectName, order}: KnownRollout, status: RolloutStatus, {resourceVersion}: StoredObject): void {
		this.observe(() => {
			this.orders.apply({
				name: objectName, order, status, version: resourceVersion,
			}, readInstant(this.options.clock));
		});
		this.exchange.announceStatus({service: order.service, status});
	}

	/** Makes a change of what is known, logs it and wakes what depends on it. */
	private observe(change: () => void): void {
		const {logger, fleet} = this.options;
		const before = new Map(this.orders.list().map(rollout => [rollout, rollout.status]));
		change();
		logRolloutChanges(logger, before, this.orders.list());
		// Calls that wait may go to other targets now.
		fleet.notify();
		this.stepWakeup.notify();
		this.holderWakeup.notify();
	}

	private listActive(): KnownRollout[] {
		const now = this.options.clock.readMonotonic();
		return this.orders.list().filter(rollout => rollout.isListed && ((rollout.status?.state ?? 'serving') === 'serving' || isStatusLost(rollout, now)));
	}

	private listVersions(service: ServiceId): SoftwareVersion[] {
		return [...new Set(this.options.fleet.listServing(service).map(({description}) => description.softwareVersion))];
	}

	private countBadAnswers(): number {
		const now = this.options.clock.readMonotonic();
		let bad = 0;
		for (const rollout of this.orders.list()) {
			bad += countBadAnswers(this.evidence.get(rollout).fleet.listSpans(now).at(-1)!);
		}

		return bad;
	}
}
