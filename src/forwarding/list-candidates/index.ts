/** Lists the targets that a call may be sent to, whether they have room or not. */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {SessionOptions} from '../session-types/index.js';
import type {StreamOrigin} from '../stream-origin/index.js';

/** A call and the version that its stream is bound to. */
export type BoundCall = {readonly session: Pick<SessionOptions, 'service'>; readonly origin: StreamOrigin};

/** Lists the serving targets of the call's service whose software its stream may go on at. */
export function listCandidates({session, origin}: BoundCall, fleet: TargetFleet): FleetTarget[] {
	return fleet.listServing(session.service).filter(target => origin.allows(target));
}
