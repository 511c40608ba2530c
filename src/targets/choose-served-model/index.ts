/** Which weights version requests use while engines change from one to another. */

import type {ResolvedModel} from '../../configuration/configuration/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {EngineMonitor} from '../engine-monitor/index.js';

/**
 * Returns `model` with the version that engines report as ready: the declared one as soon as at least
 * half of the serving engines have it, else the one that most engines have. Without this, no engine
 * would serve between the acceptance of a new version and the end of its first load.
 */
export function chooseServedModel(model: ResolvedModel, monitors: readonly EngineMonitor[], now: MonotonicMs): ResolvedModel {
	const counts = new Map<string, number>();
	let total = 0;
	for (const monitor of monitors) {
		const version = monitor.findReadyVersion(model, now);
		if (version !== undefined) {
			counts.set(version, (counts.get(version) ?? 0) + 1);
			total += 1;
		}
	}

	const declared = counts.get(model.weightsVersion) ?? 0;
	if (total === 0 || declared * 2 >= total) {
		return model;
	}

	const [version] = [...counts].toSorted((a, b) => b[1] - a[1])[0]!;
	return {...model, weightsVersion: version};
}
