/** Creates what an instance does together with others about the statements of targets. */

import type {Clock} from '../../clock/clock/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {InstanceId} from '../../identity/ids/index.js';
import {TargetLimits} from '../../limits/target-limits/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import type {DatagramTransport} from '../../peers/datagram-channel/index.js';
import type {PeerCaller, PeerMethodRegistry} from '../../peers/peer-caller/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import {LeavingNotices} from '../../statements/leaving-notices/index.js';
import {StatementCatchUp} from '../../statements/statement-catch-up/index.js';
import type {GatewayGauges} from '../gateway-metrics/index.js';

/** Components that exchange statements with other instances. */
export type StatementExchange = {
	readonly limits: TargetLimits;
	readonly leavingNotices: LeavingNotices;
	readonly catchUp: StatementCatchUp;
	readonly pauses: {readonly gauges: GatewayGauges};
};

/** Options of the components. */
export type StatementOptions = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly fleet: TargetFleet;
	readonly random: RandomSource;
	readonly channel: DatagramTransport;
	readonly caller: PeerCaller;
	readonly registry: PeerMethodRegistry;
	/** Live instances, including this one. */
	readonly listLive: () => readonly Member[];
};

/** Creates the components. */
export function createStatements(options: StatementOptions): StatementExchange {
	const listPeers = () => options.listLive().filter(({id}) => id !== options.self);
	const leavingNotices = new LeavingNotices({...options, listPeers});
	return {
		limits: new TargetLimits(options),
		leavingNotices,
		catchUp: new StatementCatchUp({...options, listPeers, leavingNotices}),
		pauses: {gauges: {paused_targets: {help: 'Targets that want no requests of this instance now.', read: () => countPaused(options)}}},
	};
}

/** Runs the tasks of the components until `signal` aborts. */
export function runStatements({limits, catchUp}: StatementExchange, signal: AbortSignal): void {
	void limits.run(signal);
	void catchUp.run(signal);
}

function countPaused({fleet, clock}: StatementOptions): number {
	const now = clock.readMonotonic();
	return [...fleet.list()].filter(target => target.isPaused(now)).length;
}
