/** The gateway process: connects the components that serve callers on a platform, and stops them in order. */

import {setMaxListeners} from 'node:events';
import type {Clock} from '../../clock/clock/index.js';
import type {PlannedStop} from '../../daemon/planned-stop/index.js';
import {LoadExchange} from '../../fleet/load-exchange/index.js';
import {PrefixDirectory} from '../../fleet/prefix-directory/index.js';
import {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {ForwardingContext} from '../../forwarding/forwarding-context/index.js';
import {pruneConnections} from '../../forwarding/prune-connections/index.js';
import {TargetClient} from '../../forwarding/target-client/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import {remainingHeader} from '../../handover/handover-headers/index.js';
import type {
	DataCentreId, InstanceId, MonotonicMs, Revision, TargetId,
} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Membership} from '../../membership/membership/index.js';
import type {Member} from '../../membership/member/index.js';
import {DatagramChannel} from '../../peers/datagram-channel/index.js';
import {PeerClient} from '../../peers/peer-client/index.js';
import {PeerServer} from '../../peers/peer-server/index.js';
import {StandstillMonitor} from '../../process/standstill-monitor/index.js';
import {RelayedObjectApi} from '../../store/relayed-object-api/index.js';
import {QuotaLending} from '../../quota/quota-lending/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import {FleetQuarantine} from '../../quarantine/fleet-quarantine/index.js';
import {calculateLongestWaitMs} from '../../resumption/calculate-longest-wait/index.js';
import {StreamDirectory} from '../../resumption/stream-directory/index.js';
import type {RolloutController} from '../../rollout/rollout-controller/index.js';
import {RolloutNotices} from '../../rollout/rollout-notices/index.js';
import {WeightsRegistry} from '../../rollout/weights-registry/index.js';
import type {RoutingConfiguration} from '../../routing/routing-types/index.js';
import {addressValiditySeconds} from '../answer-address-query/index.js';
import {applyNamedWeights} from '../apply-named-weights/index.js';
import {CallListener} from '../call-listener/index.js';
import {createGatewayStop} from '../create-gateway-stop/index.js';
import {createHandover, type Handover} from '../create-handover/index.js';
import {calculatePeerLimits} from '../create-intake/index.js';
import {createMembership} from '../create-membership/index.js';
import {createRollout} from '../create-rollout/index.js';
import {joinStops, createSoftwareRollouts, type SoftwareRolloutParts} from '../create-software-rollouts/index.js';
import {createStatements, runStatements, type StatementExchange} from '../create-statements/index.js';
import {createTrafficControl, type TrafficControl} from '../create-traffic-control/index.js';
import {CurrentRouting} from '../current-routing/index.js';
import {describeTarget} from '../describe-target/index.js';
import {estimateInstanceCount} from '../estimate-instance-count/index.js';
import {GatewayFeeds} from '../gateway-feeds/index.js';
import type {GatewayMetrics} from '../gateway-metrics/index.js';
import {InstanceRegistry} from '../instance-registry/index.js';
import {listGauges} from '../list-gauges/index.js';
import type {PlatformAdapter} from '../platform-adapter/index.js';
import type {SettingsStore} from '../settings-store/index.js';
import {startGatewayServers} from '../start-gateway-servers/index.js';

/** Options of a gateway. */
export type GatewayOptions = {
	readonly settings: SettingsStore;
	readonly adapter: PlatformAdapter;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	readonly metrics: GatewayMetrics;
};

/** Upper limit of the tasks that wait on the signal of the gateway at the same time; more would be a leak. */
const maximumTasks = 28;

/** One gateway instance. */
export class Gateway {
	private readonly controller = new AbortController();
	private readonly fleet: TargetFleet;
	private readonly targetClient = new TargetClient();
	private readonly prefixDirectory = new PrefixDirectory();
	private readonly peerServer: PeerServer;
	private readonly peerClient: PeerClient;
	private readonly membership: Membership;
	private readonly feeds: GatewayFeeds;
	private readonly quotaLending: QuotaLending;
	private readonly relayedObjectApi: RelayedObjectApi;
	private readonly rollout: RolloutController;
	private readonly software: SoftwareRolloutParts | undefined;
	private readonly datagramChannel: DatagramChannel;
	private readonly loadExchange: LoadExchange;
	private readonly rolloutNotices: RolloutNotices;
	private readonly quarantine: FleetQuarantine;
	private readonly statements: StatementExchange;
	private readonly handover: Handover;
	private readonly streams: StreamDirectory;
	private readonly listener: CallListener;
	private readonly traffic: TrafficControl;
	private readonly weightsRegistry: WeightsRegistry;
	private readonly instanceRegistry: InstanceRegistry;
	private readonly startedAt: MonotonicMs;
	private readonly routing: CurrentRouting;
	private plannedStop: PlannedStop | undefined;

	constructor(private readonly options: GatewayOptions) {
		const {adapter, clock, logger, random, metrics, settings: store} = options;
		const settings = store.current;
		const self = settings.instance as InstanceId;
		const listLive = () => this.membership.listLive(clock.readMonotonic());
		const countInstances = () => this.countInstances();
		const listPeers = () => this.listPeers();
		const listPeerIds = () => this.listPeers().map(peer => peer.id);
		this.startedAt = clock.readMonotonic();
		setMaxListeners(maximumTasks, this.controller.signal);
		this.routing = new CurrentRouting(() => this.feeds.canServe(clock.readMonotonic()), logger);
		this.fleet = new TargetFleet(logger);
		this.traffic = createTrafficControl({
			...options, fleet: this.fleet, startedAt: this.startedAt, countInstances,
		});
		this.datagramChannel = new DatagramChannel(logger);
		this.weightsRegistry = new WeightsRegistry(this.startedAt, () => store.current.weightsLimitMs);
		this.instanceRegistry = new InstanceRegistry({
			objectApi: adapter.objectApi, collection: adapter.collections.instances, self, peerAddress: settings.listen.peer, clock, logger,
		});
		this.peerServer = new PeerServer(self, undefined, calculatePeerLimits(settings));
		this.peerClient = new PeerClient({self, findPeerAddress: id => this.membership.findPeerAddress(id)});
		this.membership = createMembership({
			settings: store, instanceRegistry: this.instanceRegistry, caller: this.peerClient, registry: this.peerServer, clock, random, logger,
			readRevision: () => this.routing.table === undefined ? -1 as Revision : this.feeds.readRevision(),
		});
		this.software = createSoftwareRollouts({
			...options, fleet: this.fleet, channel: this.datagramChannel, listLive,
		});
		this.feeds = new GatewayFeeds({
			...this.software, self, adapter, clock, logger, random, caller: this.peerClient, registry: this.peerServer,
			isSeed: settings.seeds.some(seed => parseAddress(seed).host === parseAddress(settings.listen.peer).host),
			isConfigurationMissed: () => this.routing.isMissed,
			listPeers: () => this.listPeers(),
			onInstances: instances => {
				this.instanceRegistry.replace(instances);
			},
			onConfiguration: configuration => {
				this.applyConfiguration(configuration);
			},
			onTargets: targets => {
				this.fleet.replace(targets, clock.readMonotonic());
				this.streams.observeTargets(targets);
			},
			onWeights: (weights, age) => {
				applyNamedWeights({notice: weights, age}, this.weightsRegistry, logger, clock.readMonotonic());
			},
			onQuarantines: (objects, version) => {
				this.quarantine.replaceStored(objects, version);
			},
		});
		this.quotaLending = new QuotaLending({
			clock, random, self, caller: this.peerClient, registry: this.peerServer, channel: this.datagramChannel,
			countInstances, readTolerance: () => store.current.quotaTolerance, listPeers,
		});
		this.relayedObjectApi = new RelayedObjectApi({
			objectApi: adapter.objectApi, caller: this.peerClient, registry: this.peerServer, random, clock, listPeers: listPeerIds,
		});
		const channelOptions = {
			self, clock, logger, random, fleet: this.fleet, channel: this.datagramChannel, listPeers,
		};
		this.rolloutNotices = new RolloutNotices(channelOptions);
		this.handover = createHandover(channelOptions);
		this.quarantine = new FleetQuarantine({
			...channelOptions, probe: this.handover.probe,
			objectApi: this.relayedObjectApi, remover: adapter.objectApi, collection: adapter.collections.quarantines,
			onPeerCrash: ({target, startedAt, crashedAt}) => {
				this.fleet.locateIncarnation(target, startedAt)?.restartSuspicion.recordBreak(crashedAt);
			},
		});
		this.statements = createStatements({
			...options, ...channelOptions, caller: this.peerClient, registry: this.peerServer, listLive,
		});
		this.streams = new StreamDirectory({
			...channelOptions, caller: this.peerClient, registry: this.peerServer,
			objectApi: this.relayedObjectApi, directObjectApi: adapter.objectApi, collection: adapter.collections.streams, listLive,
			readLongestWaitMs: () => calculateLongestWaitMs(this.routing.table?.configuration.routes),
		});
		this.rollout = createRollout({
			...options, self, objectApi: this.relayedObjectApi, fleet: this.fleet, weights: this.weightsRegistry, notices: this.rolloutNotices,
			listLive, isCutOff: () => this.handover.reachability.isCutOff,
		});
		this.loadExchange = new LoadExchange({
			clock, random, fleet: this.fleet, prefixes: this.prefixDirectory, channel: this.datagramChannel, membership: this.membership,
			backlog: this.traffic.admission?.backlog, sharesPaces: () => store.current.evenLoad,
			readSelf: () => this.membership.readSelf(), listPeers,
		});
		this.listener = new CallListener({
			...this.traffic.intakeOptions,
			context: this.createContext(), protocol: adapter.callerProtocol, readTable: () => this.routing.readForCall(), handover: this.handover.calls,
		});
		this.peerServer.setCallRoute({
			marker: remainingHeader,
			handle: (message, response) => {
				this.listener.serveHandedOver(message, response);
			},
		});
		const softwareSources = this.software?.sources ?? [];
		metrics.addGauges(listGauges({
			listener: this.listener,
			sources: [this.quarantine, this.streams, this.handover.calls, ...Object.values(this.statements), ...this.traffic.gaugeSources, ...softwareSources],
			objectApi: adapter.objectApi, countMembers: () => this.listPeers().length + 1, readRevision: () => this.feeds.readRevision(),
		}));
	}

	/** Starts all listeners and tasks. */
	async start(): Promise<void> {
		const {clock, logger} = this.options;
		const settings = this.options.settings.current;
		const {signal} = this.controller;
		await this.peerServer.listen(settings.listen.peer);
		this.membership.start();
		void this.feeds.run(signal);
		void this.rollout.run(signal);
		void this.software?.rollouts.run(signal);
		await this.datagramChannel.listen(settings.listen.peer, signal);
		void this.loadExchange.run(signal);
		void this.quotaLending.run(signal);
		void this.quarantine.run(signal);
		runStatements(this.statements, signal);
		void this.streams.run(signal);
		void this.handover.run(signal);
		void this.instanceRegistry.keepRegistered(signal);
		void pruneConnections(this.targetClient, this.fleet, clock, signal);
		void new StandstillMonitor({
			clock, logger,
			onUncountedTime: ms => {
				this.weightsRegistry.shiftLimits(ms);
			},
		}).run(signal);
		void this.options.settings.run(logger, signal);
		await this.listener.listen(settings.listen.caller);
		await startGatewayServers({
			...this.options, listen: settings.listen, membership: this.membership, isAvoided: this.handover.isCutOff,
			isReady: () => this.isReady(),
			dump: () => this.dump(),
		});
		logger.info('gateway started', {peer: settings.listen.peer, seeds: settings.seeds.length, settings: this.options.settings.revision});
	}

	/** Stops the gateway gracefully; resolves when the process may exit. */
	async stop(): Promise<void> {
		const {clock, logger, settings} = this.options;
		this.plannedStop ??= createGatewayStop({
			clock, logger, graceMs: settings.current.graceMs, addressValiditySeconds,
			membership: this.membership, listener: this.listener, rollout: joinStops([this.rollout, this.software?.rollouts]), controller: this.controller,
		});
		await this.plannedStop.run();
	}

	dump(): unknown {
		const now = this.options.clock.readMonotonic();
		return {
			revision: this.feeds.readRevision(),
			settings: this.options.settings.dump(),
			feeds: this.feeds.dump(),
			membership: this.membership.dump(),
			rollout: this.rollout.dump(),
			softwareRollouts: this.software?.rollouts.dump(),
			quota: this.quotaLending.dump(),
			...this.traffic.dump(now),
			quarantine: this.quarantine.dump(),
			limits: this.statements.limits.dump(),
			streams: this.streams.dump(),
			handover: this.handover.dump(),
			namedWeights: this.weightsRegistry.dump(),
			callsInProgress: this.listener.callsInProgress,
			targets: [...this.fleet.list()].map(target => describeTarget(target, now)),
		};
	}

	private isReady(): boolean {
		return this.routing.findUsable() !== undefined && this.plannedStop === undefined;
	}

	private listPeers(): readonly Member[] {
		const self = this.options.settings.current.instance;
		return this.membership.listLive(this.options.clock.readMonotonic()).filter(member => member.id !== self);
	}

	private countInstances(): number {
		return estimateInstanceCount(this.instanceRegistry.registeredInstanceCount, this.membership.countKnownMembers());
	}

	private applyConfiguration(configuration: RoutingConfiguration): void {
		this.listener.applyConfiguration(this.routing.apply(configuration));
		this.quotaLending.apply(configuration.organisations);
	}

	private createContext(): ForwardingContext {
		const {settings, adapter, clock, logger, random, metrics} = this.options;
		return {
			clock, logger, fleet: this.fleet, prefixes: this.prefixDirectory, targetClient: this.targetClient,
			protocol: adapter.targetProtocol, quota: this.quotaLending, promptGuard: this.quarantine.prompts, requestGuard: this.quarantine.requests,
			admission: this.traffic.admission, limits: this.statements.limits, leavingNotices: this.statements.leavingNotices, streamOrigins: this.streams,
			reachability: this.handover.reachability, versionRouting: this.software?.rollouts.routing,
			readPlacementPolicy: this.traffic.readPlacementPolicy,
			dataCentre: settings.current.dataCentre as DataCentreId,
			draw: () => random.drawFraction(),
			findVersionHistory: model => this.weightsRegistry.find(model),
			findRetryBudget: service => this.traffic.retryBudgets.find(service),
			findService: service => this.routing.table?.findService(service),
			findCacheNamespace: organisation => this.routing.findCacheNamespace(organisation),
			listCacheStores: () => this.routing.table?.configuration.cacheStores ?? [],
			report(report) {
				metrics.recordCall(report);
			},
		};
	}
}
