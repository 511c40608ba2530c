/** Plans the orders that bring engines from their reported to their declared state. */

import type {ResolvedModel, ResolvedTarget} from '../../configuration/configuration/index.js';
import type {EngineModelState, EngineOrder, EngineState} from '../../targets/engine-client/index.js';

/** Limit of concurrent loads across the fleet. With more, each load takes longer. */
export const maximumConcurrentLoads = 2;

/** Declared and reported state of one engine. */
export type EngineView = {
	readonly target: ResolvedTarget;
	/** Undefined while the engine does not respond. */
	readonly state: EngineState | undefined;
	/** Whether a load ordered earlier may still be in progress. */
	readonly isLoadPending: boolean;
	/** Models that the engine is configured to serve. */
	readonly declaredModels: readonly ResolvedModel[];
};

/** Order without the fields that are set when it is sent. */
export type PlannedOrder = {readonly target: ResolvedTarget; readonly order: Omit<EngineOrder, 'fencing' | 'ttlMs' | 'sentAt'>};

/** Plans orders. Loads are limited by `maximumConcurrentLoads` and by the number of engines that must keep serving. */
export function planOrders(views: readonly EngineView[]): PlannedOrder[] {
	const orders = views.flatMap(view => planRoleAndUnloads(view));
	const loadingViews = new Set(views.filter(view => isLoading(view)));
	for (const {view, model} of listMissingWeights(views)) {
		if (loadingViews.size >= maximumConcurrentLoads) {
			break;
		}

		if (!loadingViews.has(view) && canLoad(view, model, views, loadingViews)) {
			loadingViews.add(view);
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
	return view.isLoadPending || (view.state?.models.some(weights => weights.state === 'loading') ?? false);
}

function planRoleAndUnloads({target, state, declaredModels}: EngineView): PlannedOrder[] {
	if (state === undefined || state.isLeaving || target.state === 'leaving') {
		return [];
	}

	const orders: PlannedOrder[] = [];
	if (state.role !== target.role) {
		orders.push({target, order: {order: 'changeRole', role: target.role}});
	}

	for (const weights of state.models) {
		if (!declaredModels.some(model => isForModel(weights, model))) {
			orders.push({target, order: {order: 'unloadWeights', base: weights.base, adapter: weights.adapter}});
		}
	}

	return orders;
}

/** Lists the missing weights, first those for engines that do not serve the model at all. */
function listMissingWeights(views: readonly EngineView[]): Array<{view: EngineView; model: ResolvedModel}> {
	const usable = views.filter(({target, state}) => state !== undefined && !state.isLeaving && target.state === 'live');
	const missing = usable.flatMap(view => view.declaredModels
		.filter(model => findWeights(view, model)?.weightsVersion !== model.weightsVersion)
		.map(model => ({view, model})));
	return missing.toSorted((a, b) => Number(isServing(a.view, a.model)) - Number(isServing(b.view, b.model)));
}

/** Whether enough engines keep serving `model` while the engine of `view` loads it. */
function canLoad(view: EngineView, model: ResolvedModel, views: readonly EngineView[], loadingViews: ReadonlySet<EngineView>): boolean {
	if (!isServing(view, model)) {
		return true;
	}

	const declaredViews = views.filter(other => other.declaredModels.some(declared => declared.id === model.id));
	const servingViews = declaredViews.filter(other => isServing(other, model) && !loadingViews.has(other));
	return servingViews.length - 1 >= countRequiredServing(declaredViews.length);
}

/** Requires half of the engines to keep serving. A model with a single engine has to be interrupted. */
function countRequiredServing(declaredCount: number): number {
	return declaredCount === 1 ? 0 : Math.ceil(declaredCount / 2);
}

function isServing(view: EngineView, model: ResolvedModel): boolean {
	return view.state?.isLeaving === false && findWeights(view, model)?.state === 'ready';
}

function findWeights(view: EngineView, model: ResolvedModel): EngineModelState | undefined {
	return view.state?.models.find(weights => isForModel(weights, model));
}

/** Whether `weights` are for `model`, in any version. */
function isForModel(weights: EngineModelState, model: ResolvedModel): boolean {
	return weights.base === model.base && weights.adapter === model.adapter;
}
