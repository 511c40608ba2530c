/** Brings engines to the declared models and roles, as long as it holds the lease `target-controller`. */

import type {Clock} from '../../clock/clock/index.js';
import type {Configuration, ResolvedTarget} from '../../configuration/configuration/index.js';
import type {FencingNumber, MonotonicMs, TargetId} from '../../identity/ids/index.js';
import type {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import type {Lease} from '../../leases/lease/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {EngineClient, EngineOrder, EngineState} from '../../targets/engine-client/index.js';
import {
	maximumLoads, planOrders, type EngineView, type PlannedOrder,
} from '../plan-orders/index.js';

/** Name of the controller's lease. */
export const controllerLeaseName = 'target-controller';
/**
 * Duration of the lease, in milliseconds. Four renewals may fail before it ends. Contenders accept gaps of the
 * same length between their reads: with a store that takes 3 s for each call, a shorter gap lets nobody take over.
 */
export const controllerLeaseMs = 10_000;
/** Time after sending within which an order may be carried out, and for which a new holder waits, in milliseconds. */
export const orderTtlMs = 2000;
const renewIntervalMs = 2000;
const roundIntervalMs = 1000;
/** Time after which a load at an engine that does not answer no longer counts, in milliseconds. */
const lostLoadMs = 60_000;

/** What the controller asks of an engine. */
export type OrderedEngine = Pick<EngineClient, 'readState' | 'sendOrder'>;

/** What the controller needs. */
export type TargetControllerOptions = {
	readonly lease: Pick<Lease, 'acquire' | 'isHeld' | 'readFencing' | 'release'>;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly invariants: InvariantChecker;
	/** The configuration in force, if there is one. */
	readonly readConfiguration: () => Configuration | undefined;
	readonly findEngine: (target: ResolvedTarget) => OrderedEngine | undefined;
	/** Whether this instance competes for the lease; bounds the store calls of a large fleet. */
	readonly isContender: () => boolean;
	readonly onOrder?: (order: string, outcome: string) => void;
};

type PendingLoad = {readonly order: PlannedOrder['order']; readonly sentAt: MonotonicMs};
type Tenure = {readonly fencing: FencingNumber; readonly beganAt: MonotonicMs; isStale: boolean};

/** One instance's contender for the control of engines. */
export class TargetController {
	private tenure: Tenure | undefined;
	private isLeaving = false;
	/** Loads of this tenure that may still be under way. */
	private readonly pending = new Map<TargetId, PendingLoad>();
	private readonly controller = new AbortController();

	constructor(private readonly options: TargetControllerOptions) {}

	/** Renews the lease and orders until `stop`. */
	async run(): Promise<void> {
		await Promise.all([this.runLease(), this.runRounds()]);
	}

	/** Gives the lease up at once and takes it no more. */
	async leave(): Promise<void> {
		this.isLeaving = true;
		try {
			await this.options.lease.release();
		} catch (error) {
			this.options.logger.warn('lease not released', {lease: controllerLeaseName, reason: (error as Error).message});
		}
	}

	stop(): void {
		this.controller.abort();
	}

	dump(): unknown {
		const {lease, clock} = this.options;
		return {
			isHolder: lease.isHeld(clock.readMonotonic()), fencing: lease.readFencing(), isStale: this.tenure?.isStale ?? false,
			pendingLoads: [...this.pending].map(([target, {order}]) => ({target, order})),
		};
	}

	private async runLease(): Promise<void> {
		const {lease, clock, logger, isContender} = this.options;
		const {signal} = this.controller;
		while (!signal.aborted) {
			if (!this.isLeaving && (isContender() || lease.isHeld(clock.readMonotonic()))) {
				try {
					await lease.acquire();
				} catch (error) {
					logger.warn('lease not renewed', {lease: controllerLeaseName, reason: (error as Error).message});
				}
			}

			await clock.sleep(renewIntervalMs, signal);
		}
	}

	private async runRounds(): Promise<void> {
		const {clock, logger} = this.options;
		const {signal} = this.controller;
		while (!signal.aborted) {
			try {
				await this.runRound();
			} catch (error) {
				logger.error('round of orders failed', {reason: (error as Error).message});
			}

			await clock.sleep(roundIntervalMs, signal);
		}
	}

	private async runRound(): Promise<void> {
		const configuration = this.options.readConfiguration();
		const tenure = this.updateTenure();
		if (configuration === undefined || tenure === undefined || tenure.isStale) {
			return;
		}

		// An order that the previous holder sent last can take effect until its time to live has passed.
		if (this.options.clock.readMonotonic() - tenure.beganAt < orderTtlMs) {
			return;
		}

		this.dropLostLoads();
		const views = await this.readViews(configuration);
		for (const planned of planOrders(views)) {
			if (!await this.send(planned, tenure)) {
				return;
			}
		}
	}

	/** The present tenure; nothing while the lease is not held. A new one begins without knowledge of loads. */
	private updateTenure(): Tenure | undefined {
		const {lease, clock, logger} = this.options;
		const now = clock.readMonotonic();
		const fencing = lease.readFencing();
		if (fencing === undefined || !lease.isHeld(now)) {
			return undefined;
		}

		if (this.tenure?.fencing !== fencing) {
			this.tenure = {fencing, beganAt: now, isStale: false};
			this.pending.clear();
			logger.info('control of engines taken', {fencing});
		}

		return this.tenure;
	}

	/** An engine that never answers again must not keep others from loading. */
	private dropLostLoads(): void {
		const now = this.options.clock.readMonotonic();
		for (const [id, load] of this.pending) {
			if (now - load.sentAt > lostLoadMs) {
				this.pending.delete(id);
			}
		}
	}

	private async readViews(configuration: Configuration): Promise<EngineView[]> {
		const models = new Map(configuration.data.models.map(model => [model.id, model]));
		const engines = configuration.data.targets.filter(target => target.type === 'engine');
		return Promise.all(engines.map(async target => {
			const wanted = target.models.map(id => models.get(id)).filter(model => model !== undefined);
			const state = await this.readBack(target);
			return {
				target, state, wanted, isLoadPending: this.pending.has(target.id),
			};
		}));
	}

	/** Reads the engine's state and closes its pending load if the state shows how it ended. */
	private async readBack(target: ResolvedTarget): Promise<EngineState | undefined> {
		const askedAt = this.options.clock.readMonotonic();
		try {
			const state = await this.options.findEngine(target)?.readState();
			const load = this.pending.get(target.id);
			if (state !== undefined && load !== undefined && isLoadOver(load, state, askedAt)) {
				this.pending.delete(target.id);
			}

			return state;
		} catch {
			return undefined;
		}
	}

	/** Sends one order and reads back what became of it. Resolves to whether more orders may follow. */
	private async send({target, order}: PlannedOrder, tenure: Tenure): Promise<boolean> {
		const {lease, clock, invariants, findEngine, logger, onOrder} = this.options;
		const engine = findEngine(target);
		const now = clock.readMonotonic();
		if (engine === undefined || !lease.isHeld(now) || lease.readFencing() !== tenure.fencing) {
			return false;
		}

		if (order.order === 'loadWeights') {
			this.pending.set(target.id, {order, sentAt: now});
			invariants.check('twoLoads', this.pending.size <= maximumLoads, `${this.pending.size} loads under way`);
		}

		invariants.check('orderUnderLease', lease.isHeld(clock.readMonotonic()), `order to ${target.id}`);
		const outcome = await this.post(engine, {
			...order, fencing: tenure.fencing, ttlMs: orderTtlMs, sentAt: clock.readWall(),
		});
		onOrder?.(order.order, outcome);
		logger.info('order sent', {
			target: target.id, order: order.order, base: order.base, version: order.weightsVersion, role: order.role, fencing: tenure.fencing, outcome,
		});
		if (outcome === 'staleFencing') {
			// Another holder has a higher number, whatever this instance believes of its lease.
			tenure.isStale = true;
			return false;
		}

		if (outcome === 'refused') {
			this.pending.delete(target.id);
		}

		await this.readBack(target);
		return true;
	}

	private async post(engine: OrderedEngine, order: EngineOrder): Promise<'accepted' | 'staleFencing' | 'refused' | 'unknown'> {
		try {
			return await engine.sendOrder(order, orderTtlMs);
		} catch {
			// The engine may have taken the order; the pending load stays until the state shows it.
			return 'unknown';
		}
	}
}

/** A load that the state does not show can still begin until its time to live has passed. */
function isLoadOver({order, sentAt}: PendingLoad, state: EngineState, askedAt: MonotonicMs): boolean {
	const held = state.models.find(model => model.base === order.base && model.adapter === order.adapter);
	if (held?.weightsVersion === order.weightsVersion && held?.state === 'ready') {
		return true;
	}

	return !state.models.some(model => model.state === 'loading') && askedAt - sentAt > orderTtlMs;
}
