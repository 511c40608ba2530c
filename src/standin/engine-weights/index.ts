/** Weights and role of a stand-in engine, which orders change. */

import {setTimeout as delay} from 'node:timers/promises';
import {fetchJson} from '../../http/fetch-json/index.js';
import type {EngineModelState, EngineOrder} from '../../targets/engine-client/index.js';

/** Options of the weights. */
export type EngineWeightsOptions = {
	readonly models: readonly EngineModelState[];
	readonly checksFencing: boolean;
	/** Time to load weights without a weight store, in milliseconds. */
	readonly loadMs: number;
	/** Base URL of the weight store, for example `http://127.0.0.1:7000`. */
	readonly weightStore?: string;
	/** Called when new weights have been loaded, so that the cache is cleared. */
	readonly onReady: () => void;
};

const weightStoreTimeoutMs = 60_000;
const retryDelayMs = 200;

/** The weights that the engine has loaded or is loading, and its role. */
export class EngineWeights {
	models: EngineModelState[];
	role: 'mixed' | 'prefill' | 'decode' = 'mixed';
	private highestFencingNumber = 0;

	constructor(private readonly options: EngineWeightsOptions) {
		this.models = [...options.models];
	}

	/** Finds loaded weights that can serve requests. */
	findReady(base: string, adapter: string | undefined): EngineModelState | undefined {
		return this.models.find(model => model.state === 'ready' && model.base === base && model.adapter === adapter);
	}

	/**
	 * Executes an order. An engine that checks fencing refuses one with a fencing number below the
	 * highest it has seen, or one that is older than its `ttlMs`.
	 */
	handleOrder(order: EngineOrder): 'accepted' | 'staleFencing' | 'refused' {
		if (this.options.checksFencing && order.fencing < this.highestFencingNumber) {
			return 'staleFencing';
		}

		this.highestFencingNumber = Math.max(this.highestFencingNumber, order.fencing);
		if (this.options.checksFencing && Date.now() - order.sentAt > order.ttlMs) {
			return 'refused';
		}

		this.executeOrder(order);
		return 'accepted';
	}

	private executeOrder(order: EngineOrder): void {
		if (order.order === 'changeRole') {
			this.role = order.role ?? this.role;
			return;
		}

		const otherModels = this.models.filter(model => model.base !== order.base || model.adapter !== order.adapter);
		if (order.order === 'unloadWeights') {
			this.models = otherModels;
			return;
		}

		const loading: EngineModelState = {
			base: order.base ?? '', adapter: order.adapter, weightsVersion: order.weightsVersion ?? '', state: 'loading',
		};
		this.models = [...otherModels, loading];
		void this.load(loading);
	}

	private async load(loading: EngineModelState): Promise<void> {
		while (this.models.includes(loading) && !await this.fetchWeights(loading)) {
			await delay(retryDelayMs, undefined, {ref: false});
		}

		// A later order may have replaced or unloaded these weights in the meantime.
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
			await fetchJson(`${weightStore}/weights/${encodeURIComponent(base)}/${encodeURIComponent(weightsVersion)}`, {timeoutMs: weightStoreTimeoutMs});
			return true;
		} catch {
			return false;
		}
	}
}
