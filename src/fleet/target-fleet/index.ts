/** Registry of all targets, synchronised with the announced list. */

import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import {BrittleServices} from '../../statements/brittle-services/index.js';
import {isSameProcess, StatementRegister} from '../../statements/statement-register/index.js';
import {FleetTarget, type TargetDescription} from '../fleet-target/index.js';
import {ServicePace} from '../service-pace/index.js';

/** All listed targets, indexed by id and by service. */
export class TargetFleet {
	/** Statements of all incarnations, listed or not. */
	readonly statements = new StatementRegister();
	private readonly brittleServices = new BrittleServices();
	private readonly targets = new Map<TargetId, FleetTarget>();
	private targetsByService = new Map<ServiceId, FleetTarget[]>();
	private readonly paces = new Map<ServiceId, ServicePace>();
	private readonly listeners = new Set<() => void>();

	constructor(private readonly logger: EventLogger) {}

	/** Replaces the list of targets at `now`. Targets that are not on the new list get no further calls. */
	replace(descriptions: readonly TargetDescription[], now: MonotonicMs): void {
		const listed = new Map(descriptions.map(description => [description.id, description]));
		for (const [id, target] of this.targets) {
			this.removeUnlessListed(target, listed.get(id), now);
		}

		for (const description of listed.values()) {
			this.update(description, now);
		}

		this.statements.prune(now);
		this.rebuildServiceIndex();
		this.notify();
	}

	locate(id: TargetId): FleetTarget | undefined {
		return this.targets.get(id);
	}

	/** Finds a target by its id and start; undefined if another process has the id now. */
	locateIncarnation(id: TargetId, startedAt: number): FleetTarget | undefined {
		const target = this.targets.get(id);
		return target?.description.startedAt === startedAt ? target : undefined;
	}

	list(): Iterable<FleetTarget> {
		return this.targets.values();
	}

	/** Lists the targets of a service that accept new calls. */
	listServing(service: ServiceId): FleetTarget[] {
		const targets = this.targetsByService.get(service) ?? [];
		return targets.filter(target => !target.isLeaving);
	}

	/** Calls `listener` after each change that may let a waiting call continue. Returns a function that unsubscribes. */
	subscribe(listener: () => void): () => void {
		this.listeners.add(listener);
		return () => {
			this.listeners.delete(listener);
		};
	}

	/** Calls the current listeners. A listener added during the call is called only after the next change. */
	notify(): void {
		// Iterating over the set itself would include listeners that are added meanwhile.
		const currentListeners = [...this.listeners];
		for (const listener of currentListeners) {
			listener();
		}
	}

	/** Removes a target, unless `description`, which the list has under its id, is of the same process. */
	private removeUnlessListed(target: FleetTarget, description: TargetDescription | undefined, now: MonotonicMs): void {
		const {description: removed} = target;
		if (description !== undefined && isSameProcess(removed, description)) {
			return;
		}

		this.targets.delete(removed.id);
		this.brittleServices.recordGone(target, now);
		this.statements.markUnlisted(removed, now);
		if (description === undefined) {
			this.logger.info('target gone', {target: removed.id, service: removed.service, address: removed.address});
		}
	}

	private update(description: TargetDescription, now: MonotonicMs): void {
		const statements = this.statements.getListed(description);
		const existing = this.targets.get(description.id);
		if (existing !== undefined) {
			if (existing.description.isLeaving !== description.isLeaving) {
				this.logger.info('target state changed', {target: description.id, leaving: description.isLeaving});
			}

			existing.description = description;
			return;
		}

		const target = new FleetTarget(description, statements, this.findOrCreatePace(description.service));
		this.brittleServices.complete(target, this.targets.values(), now);
		this.targets.set(description.id, target);
		this.logger.info('target known', {
			target: description.id, service: description.service, address: description.address, started: description.startedAt,
			software: description.softwareVersion,
		});
	}

	private findOrCreatePace(service: ServiceId): ServicePace {
		const pace = this.paces.get(service) ?? new ServicePace();
		this.paces.set(service, pace);
		return pace;
	}

	private rebuildServiceIndex(): void {
		const targetsByService = new Map<ServiceId, FleetTarget[]>();
		for (const target of this.targets.values()) {
			const serviceTargets = targetsByService.get(target.description.service) ?? [];
			serviceTargets.push(target);
			targetsByService.set(target.description.service, serviceTargets);
		}

		this.targetsByService = targetsByService;
	}
}
