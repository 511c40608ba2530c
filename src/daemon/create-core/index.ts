/** Creates the components that all others depend on: clock, logger, store client, peer connections and membership. */

import {randomInt} from 'node:crypto';
import {SystemClock, type Clock} from '../../clock/clock/index.js';
import type {
	DataCentreId, FleetId, InstanceId, Revision,
} from '../../identity/ids/index.js';
import {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import {createLogger, type EventLogger} from '../../logging/create-logger/index.js';
import {Membership, type MemberIdentity} from '../../membership/membership/index.js';
import {PeerClient} from '../../peers/peer-client/index.js';
import {PeerServer} from '../../peers/peer-server/index.js';
import {HttpInstanceList} from '../../store/http-instance-list/index.js';
import {HttpObjectApi} from '../../store/http-object-api/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import {DaemonComponents} from '../daemon-components/index.js';
import {DaemonMetrics} from '../metrics/index.js';
import type {Settings} from '../settings/index.js';

const seedLimit = 2 ** 31;

/** Dependencies shared by all components of the daemon. */
export type DaemonCore = {
	readonly settings: Settings;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly logger: EventLogger;
	readonly metrics: DaemonMetrics;
	readonly invariants: InvariantChecker;
	readonly objectApi: HttpObjectApi;
	/** Registry of the peer methods that this instance serves. */
	readonly peerServer: PeerServer;
	readonly peerClient: PeerClient;
	readonly membership: Membership;
	readonly components: DaemonComponents;
};

/** Creates the core and registers its components. `readRevision` returns the revision in force, -1 when there is none. */
export function createCore(settings: Settings, readRevision: () => Revision): DaemonCore {
	const clock = new SystemClock();
	const random = new RandomSource(randomInt(seedLimit));
	const logger = createLogger({instance: settings.instance});
	const metrics = new DaemonMetrics();
	const invariants = new InvariantChecker({
		isStrict: false,
		onViolation(name, detail) {
			metrics.recordViolation(name);
			logger.error('invariant violated', {name, detail});
		},
	});
	const objectApi = new HttpObjectApi({
		origin: settings.platform.objectApi,
		onCall(kind) {
			metrics.recordStoreCall(kind);
		},
	});
	const identity = createIdentity(settings);
	const peerServer = new PeerServer(identity.id, (sentBytes, receivedBytes) => {
		metrics.recordPeerBytes('callee', sentBytes, receivedBytes);
	});
	const peerClient: PeerClient = new PeerClient({
		self: identity.id,
		findPeerAddress: peer => membership.findPeerAddress(peer),
		onTraffic(traffic) {
			metrics.recordPeerCall(traffic);
		},
	});
	const {instanceList} = settings.platform;
	const membership = new Membership({
		identity, clock, random, logger, invariants, readRevision,
		seeds: settings.seeds,
		instanceList: instanceList === undefined ? undefined : new HttpInstanceList(instanceList),
		caller: peerClient,
		registry: peerServer,
	});
	const core: DaemonCore = {
		settings, clock, random, logger, metrics, invariants, objectApi, peerServer, peerClient, membership, components: new DaemonComponents(logger),
	};
	registerCoreComponents(core);
	return core;
}

function createIdentity(settings: Settings): MemberIdentity {
	return {
		id: settings.instance as InstanceId,
		fleet: settings.fleet as FleetId,
		region: settings.region,
		dataCentre: settings.dataCentre as DataCentreId,
		peerAddress: settings.listen.peer,
		callerAddress: settings.listen.caller,
	};
}

function registerCoreComponents({components, objectApi, peerServer, peerClient, membership, settings}: DaemonCore): void {
	components.register({
		name: 'objectApi',
		stop: async () => objectApi.close(),
	});
	components.register({
		name: 'peers',
		async start() {
			await peerServer.listen(settings.listen.peer);
		},
		async stop() {
			await peerServer.close();
			await peerClient.close();
		},
	});
	components.register({
		name: 'membership',
		start() {
			membership.start();
		},
		leave() {
			membership.markLeaving();
		},
		stop() {
			membership.stop();
		},
		dump: () => membership.dump(),
	});
}
