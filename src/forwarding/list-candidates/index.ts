/** Lists the targets that a call may be sent to, whether they have room or not. */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {CallVersions} from '../call-versions/index.js';
import type {SessionOptions} from '../session-types/index.js';
import type {StreamOrigin} from '../stream-origin/index.js';

/** A call, the version that its stream is bound to, and the versions that a rollout lets it go to. */
export type BoundCall = {
	readonly session: Pick<SessionOptions, 'service'>;
	readonly origin: StreamOrigin;
	readonly versions?: Pick<CallVersions, 'select'> | undefined;
};

/** Lists the serving targets of the call's service whose software its stream may go on at. */
export function listCandidates({session, origin, versions}: BoundCall, fleet: TargetFleet): FleetTarget[] {
	const targets = fleet.listServing(session.service).filter(target => origin.allows(target));
	return versions === undefined ? targets : versions.select(targets);
}
