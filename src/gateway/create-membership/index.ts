/** Creates the membership of a gateway instance: who it is, whom it asks first, and how often it sends heartbeats. */

import type {Clock} from '../../clock/clock/index.js';
import {calculateLivenessTimeoutMs} from '../../fleet/load-exchange/index.js';
import {hasAggregators} from '../../fleet/rank-aggregators/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import type {
	DataCentreId, FleetId, InstanceId, Revision,
} from '../../identity/ids/index.js';
import {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import {Membership} from '../../membership/membership/index.js';
import type {PeerMethodRegistry} from '../../peers/peer-caller/index.js';
import type {AddressCaller} from '../../peers/peer-client/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import {calculateCapacity} from '../calculate-capacity/index.js';
import type {InstanceRegistry} from '../instance-registry/index.js';
import type {SettingsStore} from '../settings-store/index.js';

/** Rounds from one heartbeat call to the next in a fleet with load aggregators, whose messages carry heartbeats. */
const heartbeatRoundsWithAggregators = 10;

/** Options of `createMembership`. */
export type MembershipSetup = {
	readonly settings: SettingsStore;
	readonly instanceRegistry: InstanceRegistry;
	readonly caller: AddressCaller;
	readonly registry: PeerMethodRegistry;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly logger: EventLogger;
	/** Returns the revision of the configuration in force; -1 if there is none. */
	readonly readRevision: () => Revision;
};

/** Creates the membership from the settings. */
export function createMembership(setup: MembershipSetup): Membership {
	const {settings: store, instanceRegistry, caller, registry, clock, random, logger, readRevision} = setup;
	const settings = store.current;
	const {port} = parseAddress(settings.listen.peer);
	return new Membership({
		identity: {
			id: settings.instance as InstanceId, fleet: 'gateway' as FleetId, region: settings.region, dataCentre: settings.dataCentre as DataCentreId,
			peerAddress: settings.listen.peer, callerAddress: settings.listen.caller,
			capacity: settings.capacity === undefined ? undefined : calculateCapacity(settings.capacity),
		},
		seeds: settings.seeds.map(seed => `${parseAddress(seed).host}:${port}`),
		instanceList: instanceRegistry,
		caller, registry, clock, random, logger,
		invariants: new InvariantChecker({
			isStrict: false,
			onViolation(name, detail) {
				logger.error('invariant violated', {name, detail});
			},
		}),
		calculateLivenessTimeoutMs,
		countRoundsPerHeartbeat: count => hasAggregators(count) ? heartbeatRoundsWithAggregators : 1,
		readSettingsRevision: () => store.revision,
		readRevision,
	});
}
