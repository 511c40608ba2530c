/** Controller that brings engines to their declared models and roles while it holds the lease `target-controller`. */

import type {Clock} from '../../clock/clock/index.js';
import type {Configuration, ResolvedTarget} from '../../configuration/configuration/index.js';
import type {FencingNumber, MonotonicMs, TargetId} from '../../identity/ids/index.js';
import type {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import type {Lease} from '../../leases/lease/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {EngineClient, EngineOrder, EngineState} from '../../targets/engine-client/index.js';
import {
	maximumConcurrentLoads, planOrders, type EngineView, type PlannedOrder,
} from '../plan-orders/index.js';

/** Name of the controller's lease. */
export const controllerLeaseName = 'target-controller';
/**
 * Duration of the lease. Four renewals may fail before it expires. Contenders allow a gap of the same length
 * between their reads, because with a store that takes 3 s per call a shorter gap would prevent any takeover.
 */
export const controllerLeaseMs = 10_000;
/** Time after sending within which an order may be executed. A new holder waits this long before its first order. */
export const orderTtlMs = 2000;
const leaseRenewIntervalMs = 2000;
const updateIntervalMs = 1000;
/** Time after which a pending load no longer counts if the engine does not respond. */
const pendingLoadTimeoutMs = 60_000;

/** Methods of an engine's client that the controller calls. */
export type ControlledEngine = Pick<EngineClient, 'readState' | 'sendOrder'>;

/** Options of the controller. */
export type TargetControllerOptions = {
	readonly lease: Pick<Lease, 'acquire' | 'isHeld' | 'readFencing' | 'release'>;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly invariants: InvariantChecker;
	/** Returns the current configuration, if there is one. */
	readonly readConfiguration: () => Configuration | undefined;
	readonly findEngine: (target: ResolvedTarget) => ControlledEngine | undefined;
	/** Whether this instance competes for the lease. Limits the number of store calls in a large fleet. */
	readonly isContender: () => boolean;
	readonly onOrder?: (order: string, outcome: string) => void;
};

type PendingLoad = {readonly order: PlannedOrder['order']; readonly sentAt: MonotonicMs};
type LeaseTerm = {readonly fencing: FencingNumber; readonly acquiredAt: MonotonicMs; isStale: boolean};

/** Competes for the lease on behalf of one instance, and sends orders to engines while it holds it. */
export class TargetController {
	private term: LeaseTerm | undefined;
	private isLeaving = false;
	/** Loads ordered in the current lease term that may still be in progress. */
	private readonly pendingLoads = new Map<TargetId, PendingLoad>();
	private readonly abortController = new AbortController();

	constructor(private readonly options: TargetControllerOptions) {}

	/** Renews the lease and sends orders until `stop`. */
	async run(): Promise<void> {
		await Promise.all([this.runLease(), this.runUpdates()]);
	}

	/** Releases the lease at once and stops competing for it. */
	async leave(): Promise<void> {
		this.isLeaving = true;
		try {
			await this.options.lease.release();
		} catch (error) {
			this.options.logger.warn('lease not released', {lease: controllerLeaseName, reason: (error as Error).message});
		}
	}

	stop(): void {
		this.abortController.abort();
	}

	dump(): unknown {
		const {lease, clock} = this.options;
		return {
			isHolder: lease.isHeld(clock.readMonotonic()), fencing: lease.readFencing(), isStale: this.term?.isStale ?? false,
			pendingLoads: [...this.pendingLoads].map(([target, {order}]) => ({target, order})),
		};
	}

	private async runLease(): Promise<void> {
		const {lease, clock, logger, isContender} = this.options;
		const {signal} = this.abortController;
		while (!signal.aborted) {
			if (!this.isLeaving && (isContender() || lease.isHeld(clock.readMonotonic()))) {
				try {
					await lease.acquire();
				} catch (error) {
					logger.warn('lease not renewed', {lease: controllerLeaseName, reason: (error as Error).message});
				}
			}

			await clock.sleep(leaseRenewIntervalMs, signal);
		}
	}

	private async runUpdates(): Promise<void> {
		const {clock, logger} = this.options;
		const {signal} = this.abortController;
		while (!signal.aborted) {
			try {
				await this.updateEngines();
			} catch (error) {
				logger.error('failed to update engines', {reason: (error as Error).message});
			}

			await clock.sleep(updateIntervalMs, signal);
		}
	}

	private async updateEngines(): Promise<void> {
		const configuration = this.options.readConfiguration();
		const term = this.updateTerm();
		if (configuration === undefined || term === undefined || term.isStale) {
			return;
		}

		// The last order of the previous holder can take effect until its time to live has expired.
		if (this.options.clock.readMonotonic() - term.acquiredAt < orderTtlMs) {
			return;
		}

		this.removeTimedOutLoads();
		const views = await this.readEngineViews(configuration);
		for (const planned of planOrders(views)) {
			if (!await this.sendOrder(planned, term)) {
				return;
			}
		}
	}

	/** Returns the current lease term, or undefined while the lease is not held. A new term starts without pending loads. */
	private updateTerm(): LeaseTerm | undefined {
		const {lease, clock, logger} = this.options;
		const now = clock.readMonotonic();
		const fencing = lease.readFencing();
		if (fencing === undefined || !lease.isHeld(now)) {
			return undefined;
		}

		if (this.term?.fencing !== fencing) {
			this.term = {fencing, acquiredAt: now, isStale: false};
			this.pendingLoads.clear();
			logger.info('target controller lease acquired', {fencing});
		}

		return this.term;
	}

	/** Removes loads that have timed out, so that an engine that stays unresponsive does not block the loads of others. */
	private removeTimedOutLoads(): void {
		const now = this.options.clock.readMonotonic();
		for (const [id, load] of this.pendingLoads) {
			if (now - load.sentAt > pendingLoadTimeoutMs) {
				this.pendingLoads.delete(id);
			}
		}
	}

	private async readEngineViews(configuration: Configuration): Promise<EngineView[]> {
		const models = new Map(configuration.data.models.map(model => [model.id, model]));
		const engines = configuration.data.targets.filter(target => target.type === 'engine');
		return Promise.all(engines.map(async target => {
			const declaredModels = target.models.map(id => models.get(id)).filter(model => model !== undefined);
			const state = await this.readEngineState(target);
			return {
				target, state, declaredModels, isLoadPending: this.pendingLoads.has(target.id),
			};
		}));
	}

	/** Reads the engine's state and removes its pending load if the state shows that it has ended. */
	private async readEngineState(target: ResolvedTarget): Promise<EngineState | undefined> {
		const requestedAt = this.options.clock.readMonotonic();
		try {
			const state = await this.options.findEngine(target)?.readState();
			const load = this.pendingLoads.get(target.id);
			if (state !== undefined && load !== undefined && hasLoadEnded(load, state, requestedAt)) {
				this.pendingLoads.delete(target.id);
			}

			return state;
		} catch {
			return undefined;
		}
	}

	/** Sends one order and reads the resulting state. Resolves to whether further orders may be sent. */
	private async sendOrder({target, order}: PlannedOrder, term: LeaseTerm): Promise<boolean> {
		const {lease, clock, invariants, findEngine, logger, onOrder} = this.options;
		const engine = findEngine(target);
		const now = clock.readMonotonic();
		if (engine === undefined || !lease.isHeld(now) || lease.readFencing() !== term.fencing) {
			return false;
		}

		if (order.order === 'loadWeights') {
			this.pendingLoads.set(target.id, {order, sentAt: now});
			invariants.check('twoLoads', this.pendingLoads.size <= maximumConcurrentLoads, `${this.pendingLoads.size} loads in progress`);
		}

		invariants.check('orderUnderLease', lease.isHeld(clock.readMonotonic()), `order to ${target.id}`);
		const outcome = await this.trySendOrder(engine, {
			...order, fencing: term.fencing, ttlMs: orderTtlMs, sentAt: clock.readWall(),
		});
		onOrder?.(order.order, outcome);
		logger.info('order sent', {
			target: target.id, order: order.order, base: order.base, version: order.weightsVersion, role: order.role, fencing: term.fencing, outcome,
		});
		if (outcome === 'staleFencing') {
			// Another holder has a higher fencing number, even if this instance still considers the lease its own.
			term.isStale = true;
			return false;
		}

		if (outcome === 'refused') {
			this.pendingLoads.delete(target.id);
		}

		await this.readEngineState(target);
		return true;
	}

	private async trySendOrder(engine: ControlledEngine, order: EngineOrder): Promise<'accepted' | 'staleFencing' | 'refused' | 'unknown'> {
		try {
			return await engine.sendOrder(order, orderTtlMs);
		} catch {
			// The engine may have accepted the order. The pending load is kept until the state shows its outcome.
			return 'unknown';
		}
	}
}

/** Whether the load has ended. One that the state does not show can still begin until its time to live has expired. */
function hasLoadEnded({order, sentAt}: PendingLoad, state: EngineState, requestedAt: MonotonicMs): boolean {
	const weights = state.models.find(model => model.base === order.base && model.adapter === order.adapter);
	if (weights?.weightsVersion === order.weightsVersion && weights?.state === 'ready') {
		return true;
	}

	return !state.models.some(model => model.state === 'loading') && requestedAt - sentAt > orderTtlMs;
}
