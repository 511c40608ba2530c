/** All targets that this instance knows, kept in step with the announced list. */

import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import {FleetTarget, type TargetDescription} from '../fleet-target/index.js';

/** Time for which a target that said itself that it is leaving gets no calls although the list still has it, in milliseconds. */
const ownWordMs = 5000;

/** The known targets. */
export class TargetFleet {
	private readonly targets = new Map<TargetId, FleetTarget>();
	private readonly leftAt = new Map<FleetTarget, MonotonicMs>();
	private byService = new Map<ServiceId, FleetTarget[]>();
	private readonly listeners = new Set<() => void>();

	constructor(private readonly logger: EventLogger) {}

	/** Takes over the announced list. Targets that are missing get no further calls. */
	replace(descriptions: readonly TargetDescription[]): void {
		const ids = new Set(descriptions.map(description => description.id));
		for (const [id, target] of this.targets) {
			if (!ids.has(id)) {
				this.targets.delete(id);
				this.leftAt.delete(target);
				this.logger.info('target gone', {target: id, service: target.description.service, address: target.description.address});
			}
		}

		for (const description of descriptions) {
			this.update(description);
		}

		this.index();
		this.notify();
	}

	locate(id: TargetId): FleetTarget | undefined {
		return this.targets.get(id);
	}

	list(): Iterable<FleetTarget> {
		return this.targets.values();
	}

	/** Lists the targets of a service that take new calls. */
	listServing(service: ServiceId, now: MonotonicMs): FleetTarget[] {
		const targets = this.byService.get(service) ?? [];
		return targets.filter(target => !target.description.isLeaving && !this.hasLeft(target, now));
	}

	/** Notes that the target itself announced in an answer that it is leaving. */
	noteLeaving(target: FleetTarget, now: MonotonicMs): void {
		this.leftAt.set(target, now);
	}

	/** Calls `listener` after each change that may let a waiting call go on; returns the function that ends this. */
	subscribe(listener: () => void): () => void {
		this.listeners.add(listener);
		return () => {
			this.listeners.delete(listener);
		};
	}

	/** Calls the listeners of this moment. One that subscribes again while it is called waits for the next change. */
	notify(): void {
		// A copy, since iteration over the set itself would come to those that are added meanwhile.
		const current = [...this.listeners];
		for (const listener of current) {
			listener();
		}
	}

	private hasLeft(target: FleetTarget, now: MonotonicMs): boolean {
		const at = this.leftAt.get(target);
		return at !== undefined && now - at < ownWordMs;
	}

	private update(description: TargetDescription): void {
		const known = this.targets.get(description.id);
		if (known?.description.startedAt === description.startedAt && known.description.address === description.address) {
			if (known.description.isLeaving !== description.isLeaving) {
				this.logger.info('target state changed', {target: description.id, leaving: description.isLeaving});
			}

			known.description = description;
			return;
		}

		this.targets.set(description.id, new FleetTarget(description));
		this.logger.info('target known', {
			target: description.id, service: description.service, address: description.address, started: description.startedAt,
		});
	}

	private index(): void {
		const byService = new Map<ServiceId, FleetTarget[]>();
		for (const target of this.targets.values()) {
			const list = byService.get(target.description.service) ?? [];
			list.push(target);
			byService.set(target.description.service, list);
		}

		this.byService = byService;
	}
}
