/** Chooses the weights version for requests during a rolling update of the engines. */

import type {ResolvedModel} from '../../configuration/configuration/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {EngineMonitor} from '../engine-monitor/index.js';

/**
 * Returns `model` with the declared weights version if at least half of the serving engines have it
 * ready, otherwise with the version that most engines have ready. Without this, no engine would serve
 * between the acceptance of a new version and the end of its first load.
 */
export function chooseServedModel(model: ResolvedModel, monitors: readonly EngineMonitor[], now: MonotonicMs): ResolvedModel {
	const countByVersion = new Map<string, number>();
	let servingCount = 0;
	for (const monitor of monitors) {
		const version = monitor.findReadyVersion(model, now);
		if (version !== undefined) {
			countByVersion.set(version, (countByVersion.get(version) ?? 0) + 1);
			servingCount += 1;
		}
	}

	const declaredCount = countByVersion.get(model.weightsVersion) ?? 0;
	if (servingCount === 0 || declaredCount * 2 >= servingCount) {
		return model;
	}

	const [version] = [...countByVersion].toSorted((a, b) => b[1] - a[1])[0]!;
	return {...model, weightsVersion: version};
}
