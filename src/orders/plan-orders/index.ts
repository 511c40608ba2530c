/** Plans the orders that bring engines from what they report to what is declared. */

import type {ResolvedModel, ResolvedTarget} from '../../configuration/configuration/index.js';
import type {EngineModelState, EngineOrder, EngineState} from '../../targets/engine-client/index.js';

/** Loads over the whole fleet at a time. With more, each load takes longer. */
export const maximumLoads = 2;

/** One engine as declared and as read back. */
export type EngineView = {
	readonly target: ResolvedTarget;
	/** Undefined while the engine does not answer. */
	readonly state: EngineState | undefined;
	/** Whether a load ordered earlier may still be under way. */
	readonly isLoadPending: boolean;
	/** Models that the engine is to serve. */
	readonly wanted: readonly ResolvedModel[];
};

/** An order without the parts that depend on its sending. */
export type PlannedOrder = {readonly target: ResolvedTarget; readonly order: Omit<EngineOrder, 'fencing' | 'ttlMs' | 'sentAt'>};

/** Plans orders; loads only as far as `maximumLoads` and serving engines allow. */
export function planOrders(views: readonly EngineView[]): PlannedOrder[] {
	const orders = views.flatMap(view => planRoleAndUnloads(view));
	const busy = new Set(views.filter(view => isLoading(view)));
	for (const {view, model} of listMissing(views)) {
		if (busy.size >= maximumLoads) {
			break;
		}

		if (!busy.has(view) && maySpare(view, model, views, busy)) {
			busy.add(view);
			const {base, adapter, weightsVersion} = model;
			orders.push({
				target: view.target, order: {
					order: 'loadWeights', base, adapter, weightsVersion,
				},
			});
		}
	}

	return orders;
}

function isLoading(view: EngineView): boolean {
	return view.isLoadPending || (view.state?.models.some(held => held.state === 'loading') ?? false);
}

function planRoleAndUnloads({target, state, wanted}: EngineView): PlannedOrder[] {
	if (state === undefined || state.isLeaving || target.state === 'leaving') {
		return [];
	}

	const orders: PlannedOrder[] = [];
	if (state.role !== target.role) {
		orders.push({target, order: {order: 'changeRole', role: target.role}});
	}

	for (const held of state.models) {
		if (!wanted.some(model => isSameWeights(held, model))) {
			orders.push({target, order: {order: 'unloadWeights', base: held.base, adapter: held.adapter}});
		}
	}

	return orders;
}

/** Lists what is to be loaded, engines that do not serve the model at all first. */
function listMissing(views: readonly EngineView[]): Array<{view: EngineView; model: ResolvedModel}> {
	const usable = views.filter(({target, state}) => state !== undefined && !state.isLeaving && target.state === 'live');
	const missing = usable.flatMap(view => view.wanted
		.filter(model => findHeld(view, model)?.weightsVersion !== model.weightsVersion)
		.map(model => ({view, model})));
	return missing.toSorted((a, b) => Number(isServing(a.view, a.model)) - Number(isServing(b.view, b.model)));
}

/** Whether enough engines go on serving `model` while `view` loads. */
function maySpare(view: EngineView, model: ResolvedModel, views: readonly EngineView[], busy: ReadonlySet<EngineView>): boolean {
	if (!isServing(view, model)) {
		return true;
	}

	const declared = views.filter(other => other.wanted.some(wanted => wanted.id === model.id));
	const serving = declared.filter(other => isServing(other, model) && !busy.has(other));
	return serving.length - 1 >= countNeeded(declared.length);
}

/** Half of the engines go on serving; a model with a single engine has to be interrupted. */
function countNeeded(declared: number): number {
	return declared === 1 ? 0 : Math.ceil(declared / 2);
}

function isServing(view: EngineView, model: ResolvedModel): boolean {
	return view.state?.isLeaving === false && findHeld(view, model)?.state === 'ready';
}

function findHeld(view: EngineView, model: ResolvedModel): EngineModelState | undefined {
	return view.state?.models.find(held => isSameWeights(held, model));
}

function isSameWeights(held: EngineModelState, model: ResolvedModel): boolean {
	return held.base === model.base && held.adapter === model.adapter;
}
