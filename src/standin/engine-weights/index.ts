/** Weights and role of a stand-in engine, changed by orders. */

import {setTimeout as delay} from 'node:timers/promises';
import {fetchJson} from '../../http/fetch-json/index.js';
import type {EngineModelState, EngineOrder} from '../../targets/engine-client/index.js';

/** Set-up of the weights. */
export type EngineWeightsOptions = {
	readonly models: readonly EngineModelState[];
	readonly checksFencing: boolean;
	/** Time of a load without a weight store, in milliseconds. */
	readonly loadMs: number;
	/** Base address of the weight store, for example `http://127.0.0.1:7000`. */
	readonly weightStore?: string;
	/** Called when new weights are ready, which empties the cache. */
	readonly onReady: () => void;
};

const storeTimeoutMs = 60_000;
const retryPauseMs = 200;

/** Holds what the engine has loaded. */
export class EngineWeights {
	models: EngineModelState[];
	role: 'mixed' | 'prefill' | 'decode' = 'mixed';
	private highestFencing = 0;

	constructor(private readonly options: EngineWeightsOptions) {
		this.models = [...options.models];
	}

	/** Finds weights that serve requests. */
	findReady(base: string, adapter: string | undefined): EngineModelState | undefined {
		return this.models.find(model => model.state === 'ready' && model.base === base && model.adapter === adapter);
	}

	/** Carries out `order`, or refuses it when the engine checks fencing and the order is stale or too old. */
	takeOrder(order: EngineOrder): 'accepted' | 'staleFencing' | 'refused' {
		if (this.options.checksFencing && order.fencing < this.highestFencing) {
			return 'staleFencing';
		}

		this.highestFencing = Math.max(this.highestFencing, order.fencing);
		if (this.options.checksFencing && Date.now() - order.sentAt > order.ttlMs) {
			return 'refused';
		}

		this.carryOut(order);
		return 'accepted';
	}

	private carryOut(order: EngineOrder): void {
		if (order.order === 'changeRole') {
			this.role = order.role ?? this.role;
			return;
		}

		const others = this.models.filter(model => model.base !== order.base || model.adapter !== order.adapter);
		if (order.order === 'unloadWeights') {
			this.models = others;
			return;
		}

		const loading: EngineModelState = {
			base: order.base ?? '', adapter: order.adapter, weightsVersion: order.weightsVersion ?? '', state: 'loading',
		};
		this.models = [...others, loading];
		void this.load(loading);
	}

	private async load(loading: EngineModelState): Promise<void> {
		while (this.models.includes(loading) && !await this.fetchWeights(loading)) {
			await delay(retryPauseMs, undefined, {ref: false});
		}

		// A later order may have replaced this load.
		if (this.models.includes(loading)) {
			this.options.onReady();
			this.models = this.models.map(model => model === loading ? {...loading, state: 'ready'} : model);
		}
	}

	private async fetchWeights({base, weightsVersion}: EngineModelState): Promise<boolean> {
		const {weightStore, loadMs} = this.options;
		if (weightStore === undefined) {
			await delay(loadMs, undefined, {ref: false});
			return true;
		}

		try {
			await fetchJson(`${weightStore}/weights/${encodeURIComponent(base)}/${encodeURIComponent(weightsVersion)}`, {timeoutMs: storeTimeoutMs});
			return true;
		} catch {
			return false;
		}
	}
}
