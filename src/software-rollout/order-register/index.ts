/**
 * The rollouts that an instance knows, from the stored orders and their statuses.
 *
 * An order is told from the one before by what it asks for, or by a new version of its object without a new status: each status
 * write changes the status, so the operator has put the order again. After a restore of the store from a copy, a status or an
 * order that is missing or older than a known one is ignored.
 */

import type {Instant} from '../../clock/instant/index.js';
import type {
	MonotonicMs, ResourceVersion, SoftwareVersion, WallMs,
} from '../../identity/ids/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import {isLaterVersion, parseVersion} from '../../store/object-version/index.js';
import {
	formatOrderKey, type RolloutObject, type RolloutOrder, type RolloutStatus,
} from '../rollout-types/index.js';

/** A rollout as one instance knows it. */
export type KnownRollout = {
	readonly objectName: string;
	readonly order: RolloutOrder;
	readonly number: number;
	readonly orderedAt: WallMs;
	/** When the order appeared in the store, on the clock of this process. */
	startedAt: MonotonicMs;
	/** Versions that served before the order; undefined if they are not known. */
	previous: readonly SoftwareVersion[] | undefined;
	/** The newest known status of this order. */
	status: RolloutStatus | undefined;
	/** When the instance learned of the present state and stage. */
	stageSince: MonotonicMs;
	/** When the instance last received the order or a newer status from the store, or any status from the lease holder. */
	heardAt: MonotonicMs;
	/** Version of the stored object and the status in it. */
	version: ResourceVersion;
	storedStatus: RolloutStatus | undefined;
	/** Whether the store has the order; a restore from a copy may have lost it. */
	isListed: boolean;
	/** Why an instance has judged the version to be bad. */
	stopReason: string | undefined;
};

/** Lists the versions of a service's targets. */
export type VersionLister = (service: ServiceId) => readonly SoftwareVersion[];

/** Known rollouts by service. */
export class OrderRegister {
	private readonly rollouts = new Map<ServiceId, KnownRollout>();
	private readonly excluded = new Map<ServiceId, Set<SoftwareVersion>>();
	private hasRead = false;

	constructor(private readonly listVersions: VersionLister) {}

	/** Takes over the stored orders; `version` is that of the collection. */
	replace(objects: readonly RolloutObject[], version: ResourceVersion, now: Instant): void {
		for (const object of objects) {
			this.apply(object, now);
		}

		const services = new Set(objects.map(({order}) => order.service));
		for (const rollout of this.rollouts.values()) {
			if (!services.has(rollout.order.service)) {
				this.applyRemoval(rollout, version);
			}
		}

		this.hasRead = true;
	}

	/** Takes over a stored order. */
	apply(object: RolloutObject, now: Instant): void {
		const known = this.rollouts.get(object.order.service);
		if (known !== undefined && isLaterVersion(known.version, object.version)) {
			return;
		}

		if (known === undefined || isNewerOrder(known, object)) {
			this.begin(object, known, now);
			return;
		}

		known.isListed = known.order.target === object.order.target && known.order.durationMs === object.order.durationMs;
		known.version = object.version;
		known.storedStatus = object.status;
		if (object.status !== undefined) {
			this.adoptStatus(known, object.status, now.monotonic);
		}
	}

	/** Takes over a status that another instance has written, if it is newer and of the same order. */
	adoptStatus(rollout: KnownRollout, status: RolloutStatus, now: MonotonicMs): void {
		const {status: present} = rollout;
		if (status.order !== rollout.number || status.target !== rollout.order.target || status.write <= (present?.write ?? 0)) {
			return;
		}

		if (present?.stage !== status.stage || present.state !== status.state) {
			rollout.stageSince = now;
		}

		rollout.status = status;
		rollout.heardAt = now;
		rollout.previous = status.previous;
		this.raiseAge(rollout, status.ageMs, now);
		this.exclude(rollout.order.service, status.excluded);
		if (status.state === 'rolledBack') {
			this.exclude(rollout.order.service, [status.target]);
		}
	}

	/** Records that the order is at least `ageMs` old. */
	raiseAge(rollout: KnownRollout, ageMs: number, now: MonotonicMs): void {
		rollout.startedAt = Math.min(rollout.startedAt, now - ageMs) as MonotonicMs;
	}

	/** Records that the version is bad. Returns whether that is new and in time. */
	stop(rollout: KnownRollout, reason: string): boolean {
		if (rollout.stopReason !== undefined || (rollout.status?.state ?? 'serving') !== 'serving') {
			return false;
		}

		rollout.stopReason = reason;
		this.exclude(rollout.order.service, [rollout.order.target]);
		return true;
	}

	/** Finds the newest rollout of a service. */
	find(service: ServiceId): KnownRollout | undefined {
		return this.rollouts.get(service);
	}

	/** Lists the newest rollout of each service. */
	list(): readonly KnownRollout[] {
		return [...this.rollouts.values()];
	}

	/** Whether a version was rolled back and no later order names it. */
	isExcluded(service: ServiceId, version: SoftwareVersion): boolean {
		return this.excluded.get(service)?.has(version) ?? false;
	}

	/** Lists the versions of a service that were rolled back and that no later order names. */
	listExcluded(service: ServiceId): readonly SoftwareVersion[] {
		return [...this.excluded.get(service) ?? []];
	}

	private begin(object: RolloutObject, known: KnownRollout | undefined, now: Instant): void {
		const {order, status, version} = object;
		const {service, target} = order;
		const own = isOwnStatus(object) && (status?.order ?? 0) > (known?.number ?? 0) ? status : undefined;
		this.carryExclusions(order, known, status);
		const ageMs = own === undefined ? 0 : estimateAgeMs(own, order, this.hasRead, now);
		const rollout: KnownRollout = {
			objectName: object.name, order, number: own?.order ?? Math.max(known?.number ?? 0, status?.order ?? 0) + 1,
			orderedAt: own?.orderedAt ?? now.wall, startedAt: now.monotonic - ageMs as MonotonicMs,
			previous: this.choosePrevious(order, known, status), status: undefined, stageSince: now.monotonic, heardAt: now.monotonic,
			version, storedStatus: status, isListed: true, stopReason: undefined,
		};
		this.rollouts.set(service, rollout);
		this.excluded.get(service)?.delete(target);
		if (own !== undefined) {
			this.adoptStatus(rollout, own, now.monotonic);
		}
	}

	/** Keeps the versions out that earlier orders have rolled back. */
	private carryExclusions({service}: RolloutOrder, known: KnownRollout | undefined, status: RolloutStatus | undefined): void {
		if (status !== undefined) {
			this.exclude(service, [...status.excluded, ...status.state === 'rolledBack' ? [status.target] : []]);
		}

		if (known !== undefined && (known.stopReason !== undefined || known.status?.state === 'rolledBack')) {
			this.exclude(service, [known.order.target]);
		}
	}

	/** Chooses the versions that serve beside the one that is rolled out; undefined if they are not known. */
	private choosePrevious(order: RolloutOrder, known: KnownRollout | undefined, status: RolloutStatus | undefined): readonly SoftwareVersion[] | undefined {
		const {service, target} = order;
		const last = known?.status ?? status;
		const lastTarget = known?.order.target ?? status?.target;
		const present = this.hasRead ? this.listVersions(service) : [];
		const before = last?.state === 'completed' ? [last.target] : known?.previous ?? status?.previous ?? present;
		const isUsable = (version: SoftwareVersion) => version !== target && !this.isExcluded(service, version);
		const versions = before.filter(version => isUsable(version));
		if (versions.length > 0) {
			return versions;
		}

		return lastTarget !== undefined && isUsable(lastTarget) ? [lastTarget] : undefined;
	}

	/** Forgets a rollout whose object was removed. One that hadn't ended is given up. */
	private applyRemoval(rollout: KnownRollout, version: ResourceVersion): void {
		const {service, target} = rollout.order;
		if (parseVersion(version).era !== parseVersion(rollout.version).era) {
			rollout.isListed = false;
			return;
		}

		if (rollout.status?.state !== 'completed') {
			this.exclude(service, [target]);
		}

		this.rollouts.delete(service);
	}

	private exclude(service: ServiceId, versions: readonly SoftwareVersion[]): void {
		const excluded = this.excluded.get(service) ?? new Set<SoftwareVersion>();
		for (const version of versions) {
			excluded.add(version);
		}

		this.excluded.set(service, excluded);
	}
}

/** Whether the status was written for the order in the same object; an equal order that was put again isn't told apart. */
function isOwnStatus({order, status}: RolloutObject): boolean {
	return status?.orderKey === formatOrderKey(order);
}

/** Whether the store has another order than the known one. */
function isNewerOrder(known: KnownRollout, object: RolloutObject): boolean {
	const {order, status, version} = object;
	const isSameEra = parseVersion(version).era === parseVersion(known.version).era;
	if (formatOrderKey(order) !== formatOrderKey(known.order)) {
		// A copy may have brought back an order that was replaced.
		return isSameEra || !isOwnStatus(object) || status!.order >= known.number;
	}

	if (isOwnStatus(object) && status!.order > known.number) {
		return true;
	}

	const {storedStatus} = known;
	const isStatusUnchanged = status === undefined || (status.order === storedStatus?.order && status.write === storedStatus.write);
	return isSameEra && version !== known.version && storedStatus?.order === known.number && isStatusUnchanged;
}

/** Estimates the age of an order that the instance did not see appear. At its start, it can't know how long all instances were away. */
function estimateAgeMs({ageMs, orderedAt}: RolloutStatus, {durationMs}: RolloutOrder, hasRead: boolean, now: Instant): number {
	const wallAgeMs = hasRead ? 0 : Math.min(durationMs, now.wall - orderedAt);
	return Math.max(ageMs, wallAgeMs);
}
