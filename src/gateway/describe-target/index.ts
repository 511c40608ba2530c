/** Describes a target in the dump of an instance: what it announced, and what keeps calls away from it. */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';

/** Describes `target` as it is at `now`. */
export function describeTarget(target: FleetTarget, now: MonotonicMs) {
	return {
		...target.description, weightsVersions: Object.fromEntries(target.description.weightsVersions),
		calls: target.calls.size, avoided: target.isInCooldown(now), silent: target.isSilent(now), cordoned: target.isCordoned(now),
		leaving: target.isLeaving, pausedMs: Math.max(0, target.pause.readUntil() - now), requestsPerSecond: target.limit.read(),
		reportedLoad: target.readTotalLoad(now),
		estimatedLoadTokens: Math.round(target.estimateLoad(now)), estimatedMemoryTokens: Math.round(target.estimateMemory(now)),
		speed: roundSpeed(target.speed.read(now)),
		refusalsPerSecond: target.brittleness.read(),
	};
}

function roundSpeed(speed: number): number {
	return Math.round(speed * 100) / 100;
}
