/** Directory of the engines in the current configuration, each with a monitor. */

import type {Clock} from '../../clock/clock/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Configuration, ResolvedTarget} from '../../configuration/configuration/index.js';
import type {TargetId} from '../../identity/ids/index.js';
import {EngineMonitor} from '../engine-monitor/index.js';
import {LeavingTargets} from '../leaving-targets/index.js';
import type {EngineClient} from '../engine-client/index.js';

/** Creates the client of an engine. */
export type EngineClientFactory = (target: ResolvedTarget) => EngineClient;

/**
 * Keeps one monitor per engine target and replaces it when the target's address changes. A monitor without a target is retired:
 * it gets no new requests, and those in flight go on.
 */
export class TargetDirectory {
	private readonly monitors = new Map<TargetId, EngineMonitor>();
	/** Monitors without a target that still have requests in flight. */
	private readonly retiredMonitors = new Set<EngineMonitor>();

	constructor(
		private readonly clock: Clock,
		private readonly logger: EventLogger,
		private readonly createClient: EngineClientFactory,
		readonly leaving = new LeavingTargets(clock),
	) {}

	/** Starts and stops monitors so that they match `configuration`. */
	apply(configuration: Configuration): void {
		const configuredTargets = new Map(configuration.data.targets.filter(target => target.type === 'engine').map(target => [target.id, target]));
		for (const [id, monitor] of this.monitors) {
			const target = configuredTargets.get(id);
			if (target?.address === monitor.target.address) {
				// Requests in flight at the engine continue, even if it is now leaving.
				monitor.target = target;
			} else {
				this.monitors.delete(id);
				void this.retireMonitor(monitor);
			}
		}

		for (const [id, target] of configuredTargets) {
			if (!this.monitors.has(id)) {
				const client = this.createClient(target);
				const monitor = new EngineMonitor(target, client, this.clock, this.logger, this.leaving);
				client.onLeaving = () => {
					this.leaving.mark(target.address);
				};

				this.monitors.set(id, monitor);
				void monitor.run();
			}
		}
	}

	find(id: TargetId): EngineMonitor | undefined {
		return this.monitors.get(id);
	}

	list(): readonly EngineMonitor[] {
		return [...this.monitors.values()];
	}

	dump(): unknown {
		const now = this.clock.readMonotonic();
		return this.list().map(monitor => ({target: monitor.target, state: monitor.readState(now), ownInFlight: monitor.ownInFlight}));
	}

	async stop(): Promise<void> {
		await Promise.all([...this.list(), ...this.retiredMonitors].map(async monitor => monitor.stop()));
		this.monitors.clear();
	}

	private async retireMonitor(monitor: EngineMonitor): Promise<void> {
		this.retiredMonitors.add(monitor);
		try {
			await monitor.retire();
		} catch (error) {
			this.logger.warn('connections to a removed engine not closed', {target: monitor.target.id, reason: (error as Error).message});
		} finally {
			this.retiredMonitors.delete(monitor);
		}
	}
}
