/**
 * Collects what instances observe of the speeds of targets, and passes it on with the load reports.
 *
 * In a large fleet one instance sends a target few calls a minute, too few to learn its speed. Reports therefore carry the
 * observations since the last one. Observations that a message has no room for wait for the next one, so that the size of
 * messages doesn't grow with the number of targets.
 */

import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';
import type {PaceObservation} from '../learned-speed/index.js';
import type {PaceEntry, SumsMessage} from '../load-messages/index.js';
import type {TargetFleet} from '../target-fleet/index.js';

/** Maximum number of observations in a message. */
export const maximumPaces = 24;

/** Observations on their way through one instance. */
export class PaceExchange {
	/** What the receivers of each kind of sums have not been told, in the order of its arrival. */
	private readonly pending = {fleet: new Map<TargetId, PaceObservation>(), dataCentre: new Map<TargetId, PaceObservation>()};

	/** `isEnabled`: whether observations are passed on. */
	constructor(private readonly fleet: TargetFleet, readonly isEnabled: () => boolean) {}

	/** Returns the observations that this instance has made since its last report. */
	takeOwn(now: MonotonicMs): readonly PaceEntry[] {
		const entries: PaceEntry[] = [];
		if (!this.isEnabled()) {
			return entries;
		}

		for (const {speed, description: {id}} of this.fleet.list()) {
			const observation = entries.length < maximumPaces ? speed.takeUnreported(now) : undefined;
			if (observation !== undefined) {
				entries.push([id, observation.workTokens, observation.ms]);
			}
		}

		return entries;
	}

	/** Records what another instance has observed. */
	record(entries: readonly PaceEntry[] | undefined, now: MonotonicMs): void {
		for (const [id, workTokens, ms] of entries ?? []) {
			this.fleet.locate(id)?.speed.recordReported({workTokens, ms}, now);
		}
	}

	/** Keeps observations for the sums of `scope`. */
	keep(entries: readonly PaceEntry[] | undefined, scope: SumsMessage['scope']): void {
		for (const [id, workTokens, ms] of entries ?? []) {
			const sum = this.pending[scope].get(id) ?? {workTokens: 0, ms: 0};
			this.pending[scope].set(id, {workTokens: sum.workTokens + workTokens, ms: sum.ms + ms});
		}
	}

	/** Takes the observations that have waited longest for the sums of `scope`. */
	take(scope: SumsMessage['scope']): readonly PaceEntry[] {
		const pending = this.pending[scope];
		const entries = [...pending].slice(0, maximumPaces);
		for (const [id] of entries) {
			pending.delete(id);
		}

		return entries.map(([id, {workTokens, ms}]) => [id, workTokens, ms]);
	}
}
