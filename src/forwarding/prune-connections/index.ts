/** Closes the pooled connections to removed targets at intervals. */

import type {Clock} from '../../clock/clock/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {TargetClient} from '../target-client/index.js';

const pruneIntervalMs = 2000;

/** Closes connections to targets that are no longer in `fleet` until `signal` aborts. */
export async function pruneConnections(client: TargetClient, fleet: TargetFleet, clock: Clock, signal: AbortSignal): Promise<void> {
	while (!signal.aborted) {
		await clock.sleep(pruneIntervalMs, signal);
		client.prune(new Set(fleet.list()));
	}
}
