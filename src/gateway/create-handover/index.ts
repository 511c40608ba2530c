/** Creates what notices that a gateway instance is cut off from targets, and passes calls on meanwhile. */

import type {Clock} from '../../clock/clock/index.js';
import {probeTarget, type TargetState} from '../../fleet/probe-target/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import {CallHandover} from '../../handover/call-handover/index.js';
import {PeerAvailability} from '../../handover/peer-availability/index.js';
import {TargetReachability} from '../../handover/target-reachability/index.js';
import type {InstanceId} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import type {DatagramTransport} from '../../peers/datagram-channel/index.js';
import type {RandomSource} from '../../random/random-source/index.js';

/** Dependencies. */
export type HandoverSetup = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	readonly fleet: TargetFleet;
	readonly channel: DatagramTransport;
	/** Live instances other than this one. */
	readonly listPeers: () => readonly Member[];
};

/** Parts of the handover. */
export type Handover = {
	readonly reachability: TargetReachability;
	readonly peers: PeerAvailability;
	readonly calls: CallHandover;
	/** Probes a target; unknown while the paths to targets may be to blame. */
	readonly probe: (target: FleetTarget) => Promise<TargetState>;
	/** Whether an instance, this one or another, is cut off as far as is known. */
	readonly isCutOff: (member: Member) => boolean;
	run(signal: AbortSignal): Promise<void>;
	dump(): unknown;
};

/** Creates the parts. */
export function createHandover(setup: HandoverSetup): Handover {
	const {self, clock, logger, random} = setup;
	const reachability = new TargetReachability({
		...setup,
		probe: async target => await probeTarget(target) === 'up',
		onChange() {
			peers.announce();
		},
	});
	const peers = new PeerAvailability({...setup, isCutOff: () => reachability.isCutOff});
	return {
		reachability, peers,
		calls: new CallHandover({
			self, clock, logger, random, reachability, peers,
		}),
		async probe(target) {
			const state = await probeTarget(target);
			return reachability.isWitness ? state : 'unknown';
		},
		isCutOff: ({id}) => id === self ? reachability.isCutOff : peers.isCutOff(id),
		async run(signal) {
			await Promise.all([reachability.run(signal), peers.run(signal)]);
		},
		dump: () => ({state: reachability.read(), canConnect: reachability.canConnect, instancesCutOff: peers.cutOffCount}),
	};
}
