/** Named weights of all models. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import {NamedWeights} from '../named-weights/index.js';

/** Time after the start for which old weights may still be used, in milliseconds; they may have been replaced long before. */
const startGraceMs = 3000;
/** Part of the time limit after which old weights are not used any more; the rest covers the delay of the news. */
const limitShare = 0.75;

/** Remembers which weights were named and when. */
export class WeightsRegistry {
	private readonly models = new Map<string, NamedWeights>();

	/** `limitMs` is the time after which no call may begin on older weights. */
	constructor(private readonly startedAt: MonotonicMs, private readonly limitMs: number) {}

	/** Notes a version; returns whether it is newer than all before. */
	note(model: string, version: number, now: MonotonicMs): boolean {
		let named = this.models.get(model);
		if (named === undefined) {
			named = new NamedWeights();
			this.models.set(model, named);
		}

		const isStarting = now - this.startedAt < startGraceMs;
		return named.note(version, isStarting ? startGraceMs : this.limitMs * limitShare, now);
	}

	find(model: string): NamedWeights | undefined {
		return this.models.get(model);
	}

	list(): ReadonlyMap<string, NamedWeights> {
		return this.models;
	}

	/** Newest version by model. */
	dump(): Record<string, number> {
		return Object.fromEntries([...this.models].map(([model, {version}]) => [model, version]));
	}
}
