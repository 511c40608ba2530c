/** Creates what an instance does together with others about the statements of targets. */

import type {Clock} from '../../clock/clock/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {InstanceId} from '../../identity/ids/index.js';
import {TargetLimits} from '../../limits/target-limits/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import type {DatagramTransport} from '../../peers/datagram-channel/index.js';
import {LeavingNotices} from '../../statements/leaving-notices/index.js';
import type {GatewayGauges} from '../gateway-metrics/index.js';

/** Components that exchange statements with other instances. */
export type StatementExchange = {readonly limits: TargetLimits; readonly leavingNotices: LeavingNotices; readonly pauses: {readonly gauges: GatewayGauges}};

/** Options of the components. */
export type StatementOptions = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly fleet: TargetFleet;
	readonly channel: DatagramTransport;
	/** Live instances, including this one. */
	readonly listLive: () => readonly Member[];
};

/** Creates the components. */
export function createStatements(options: StatementOptions): StatementExchange {
	const listPeers = () => options.listLive().filter(({id}) => id !== options.self);
	return {
		limits: new TargetLimits(options),
		leavingNotices: new LeavingNotices({...options, listPeers}),
		pauses: {gauges: {paused_targets: {help: 'Targets that want no requests of this instance now.', read: () => countPaused(options)}}},
	};
}

function countPaused({fleet, clock}: StatementOptions): number {
	const now = clock.readMonotonic();
	return [...fleet.list()].filter(target => target.isPaused(now)).length;
}
