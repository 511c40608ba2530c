/** Interface through which a rollout orders engines to load weights and reads what they report. */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {FencingNumber} from '../../identity/ids/index.js';

/**
 * Outcome of an order. `unreachable`: the engine can't have received the order.
 * `unknown`: the engine may have received it and may still carry it out.
 */
export type OrderOutcome = 'accepted' | 'alreadyDone' | 'conflict' | 'refused' | 'gone' | 'unreachable' | 'unknown';

/** Order to load weights. */
export type WeightsOrder = {
	readonly model: string;
	readonly version: number;
	readonly fencing: FencingNumber;
	/** The engine refuses the order unless it has accepted exactly this many orders, so that a delayed duplicate has no effect. */
	readonly expectedOrders: number;
};

/** State that an engine reports. */
export type EngineReport = {readonly versions: ReadonlyMap<string, number>; readonly acceptedOrders: number; readonly isChanging: boolean};

/** Sends orders to engines and reads their reports. */
export type EngineCommander = {
	order(target: FleetTarget, order: WeightsOrder): Promise<OrderOutcome>;
	/** Resolves to undefined when the engine doesn't answer. */
	readReport(target: FleetTarget): Promise<EngineReport | undefined>;
};
