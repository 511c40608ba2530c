/** The gateway process: wires the parts that serve callers on a platform, and stops them in order. */

import type {Clock} from '../../clock/clock/index.js';
import {AdminServer} from '../../daemon/admin-server/index.js';
import type {PlannedStop} from '../../daemon/planned-stop/index.js';
import {calculateLifeMs, LoadExchange} from '../../fleet/load-exchange/index.js';
import {PrefixDirectory} from '../../fleet/prefix-directory/index.js';
import {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {ForwardingContext} from '../../forwarding/forwarding-context/index.js';
import {TargetExchange} from '../../forwarding/target-exchange/index.js';
import {listenForQuestions} from '../../http/listen-for-questions/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import type {
	DataCentreId, FleetId, InstanceId, MonotonicMs, TargetId,
} from '../../identity/ids/index.js';
import {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import {Lease} from '../../leases/lease/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import {chooseAddresses} from '../../membership/choose-addresses/index.js';
import {createIncarnation} from '../../membership/create-incarnation/index.js';
import {Membership} from '../../membership/membership/index.js';
import type {Member} from '../../membership/member/index.js';
import {DatagramChannel} from '../../peers/datagram-channel/index.js';
import {PeerClient} from '../../peers/peer-client/index.js';
import {PeerServer} from '../../peers/peer-server/index.js';
import {RelayedObjectApi} from '../../store/relayed-object-api/index.js';
import {QuotaLending} from '../../quota/quota-lending/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import {RolloutController, rolloutLeaseMs, rolloutLeaseName} from '../../rollout/rollout-controller/index.js';
import {RolloutNotices} from '../../rollout/rollout-notices/index.js';
import {WeightsRegistry} from '../../rollout/weights-registry/index.js';
import {RoutingTable} from '../../routing/routing-table/index.js';
import type {RoutingConfiguration} from '../../routing/routing-types/index.js';
import {CallListener} from '../call-listener/index.js';
import {createGatewayStop} from '../create-gateway-stop/index.js';
import {GatewayFeeds} from '../gateway-feeds/index.js';
import type {GatewayMetrics} from '../gateway-metrics/index.js';
import type {GatewaySettings} from '../gateway-settings/index.js';
import {InstanceRegistry} from '../instance-registry/index.js';
import type {PlatformAdapter, WeightsNotice} from '../platform-adapter/index.js';
import {ServiceRetryBudgets} from '../service-retry-budgets/index.js';

/** What a gateway is made of. */
export type GatewayOptions = {
	readonly settings: GatewaySettings;
	readonly adapter: PlatformAdapter;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	readonly metrics: GatewayMetrics;
};

/** Validity of an address answer, in seconds. */
const addressValiditySeconds = 1;
const pruneIntervalMs = 2000;
/** Instances that contend for the rollout lease. */
const contenders = 2;
/** Instances assumed until the registry has been read, so that quota shares are not too large. */
const assumedInstances = 12;
const drawSteps = 0x40_00_00_00;

/** One gateway instance. */
export class Gateway {
	private readonly controller = new AbortController();
	private readonly fleet: TargetFleet;
	private readonly exchange = new TargetExchange();
	private readonly prefixes = new PrefixDirectory();
	private readonly peerServer: PeerServer;
	private readonly peerClient: PeerClient;
	private readonly membership: Membership;
	private readonly feeds: GatewayFeeds;
	private readonly quota: QuotaLending;
	private readonly relayedApi: RelayedObjectApi;
	private readonly rollout: RolloutController;
	private readonly channel: DatagramChannel;
	private readonly loads: LoadExchange;
	private readonly notices: RolloutNotices;
	private readonly listener: CallListener;
	private readonly retryBudgets: ServiceRetryBudgets;
	private readonly weights: WeightsRegistry;
	private readonly registry: InstanceRegistry;
	private readonly startedAt: MonotonicMs;
	private table: RoutingTable | undefined;
	private stopInProgress: PlannedStop | undefined;

	constructor(private readonly options: GatewayOptions) {
		const {settings, adapter, clock, logger, random} = options;
		const self = settings.instance as InstanceId;
		const listPeerIds = () => this.listPeers().map(peer => peer.id);
		this.startedAt = clock.readMonotonic();
		this.fleet = new TargetFleet(logger);
		this.channel = new DatagramChannel(logger);
		this.weights = new WeightsRegistry(this.startedAt, settings.weightsLimitMs);
		this.retryBudgets = new ServiceRetryBudgets(settings.retryBudget, () => this.countInstances());
		this.registry = new InstanceRegistry({
			objectApi: adapter.objectApi, collection: adapter.collections.instances, self, peerAddress: settings.listen.peer, clock, logger,
		});
		this.peerServer = new PeerServer(self);
		this.peerClient = new PeerClient({self, locate: id => this.membership.locate(id)});
		this.membership = this.createMembership(self);
		this.feeds = new GatewayFeeds({
			self, adapter, clock, logger, random, caller: this.peerClient, registry: this.peerServer,
			listPeers: () => this.listPeers(),
			onInstances: instances => {
				this.registry.replace(instances);
			},
			onConfiguration: configuration => {
				this.applyConfiguration(configuration);
			},
			onTargets: targets => {
				this.fleet.replace(targets);
			},
			onWeights: weights => {
				this.applyWeights(weights);
			},
		});
		this.quota = new QuotaLending({
			clock, random, caller: this.peerClient, registry: this.peerServer,
			countInstances: () => this.countInstances(),
			tolerance: settings.quotaTolerance,
			self, channel: this.channel,
			listPeers: () => this.listPeers(),
		});
		this.relayedApi = new RelayedObjectApi({
			objectApi: adapter.objectApi, caller: this.peerClient, registry: this.peerServer, random, clock,
			listPeers: listPeerIds,
		});
		this.notices = new RolloutNotices({
			clock, fleet: this.fleet, channel: this.channel, listPeers: () => this.listPeers(),
		});
		this.rollout = this.createRollout(self);
		this.loads = new LoadExchange({
			clock, random, fleet: this.fleet, prefixes: this.prefixes, channel: this.channel, membership: this.membership,
			listPeers: () => this.listPeers(),
		});
		this.listener = new CallListener({context: this.createContext(), protocol: adapter.callerProtocol, readTable: () => this.table});
		this.addGauges();
	}

	/** Starts all listeners and tasks. */
	async start(): Promise<void> {
		const {settings, adapter, metrics} = this.options;
		const {signal} = this.controller;
		await this.peerServer.listen(settings.listen.peer);
		this.membership.start();
		void this.feeds.run(signal);
		void this.rollout.run(signal);
		await this.channel.listen(settings.listen.peer, signal);
		void this.loads.run(signal);
		void this.quota.run(signal);
		void this.registry.register(signal);
		void this.runPruning(signal);
		await this.listener.listen(settings.listen.caller);
		await listenForQuestions(settings.listen.readiness, url => url.pathname === adapter.readinessPath
			? {status: this.isReady() ? 200 : 503, body: {ready: this.isReady()}}
			: {status: 404, body: {}});
		await listenForQuestions(settings.listen.directory, url => this.answerDirectory(url));
		await new AdminServer({
			metrics, dump: () => this.dump(), readObstacle: () => this.isReady() ? undefined : 'no configuration, or stopping',
		}).listen(settings.listen.admin);
		this.options.logger.info('gateway started', {peer: settings.listen.peer, seeds: settings.seeds.length});
	}

	/** Stops gracefully; resolves when the process may exit. */
	async stop(): Promise<void> {
		const {clock, logger, settings} = this.options;
		const {membership, listener, rollout, controller} = this;
		this.stopInProgress ??= createGatewayStop({
			clock, logger, graceMs: settings.graceMs, addressValiditySeconds, membership, listener, rollout, controller,
		});
		await this.stopInProgress.run();
	}

	dump(): unknown {
		const now = this.options.clock.readMonotonic();
		return {
			revision: this.feeds.readRevision(),
			feeds: this.feeds.dump(),
			membership: this.membership.dump(),
			rollout: this.rollout.dump(),
			quota: this.quota.dump(),
			namedWeights: this.weights.dump(),
			callsInProgress: this.listener.callsInProgress,
			targets: [...this.fleet.list()].map(target => ({
				...target.description, weightsVersions: Object.fromEntries(target.description.weightsVersions),
				calls: target.calls.size, avoided: target.isAvoided(now), silent: target.isSilent(now), cordoned: target.isCordoned(now),
			})),
		};
	}

	private isReady(): boolean {
		return this.table !== undefined && this.stopInProgress === undefined;
	}

	private listPeers(): readonly Member[] {
		const self = this.options.settings.instance;
		return this.membership.listLive(this.options.clock.readMonotonic()).filter(member => member.id !== self);
	}

	private countInstances(): number {
		const {registeredInstances} = this.registry;
		const known = Math.max(registeredInstances, this.membership.countKnown());
		return registeredInstances === 0 ? Math.max(known, assumedInstances) : known;
	}

	private createMembership(self: InstanceId): Membership {
		const {settings, clock, random, logger} = this.options;
		const {port} = parseAddress(settings.listen.peer);
		return new Membership({
			identity: {
				id: self, fleet: 'gateway' as FleetId, region: settings.region, dataCentre: settings.dataCentre as DataCentreId,
				peerAddress: settings.listen.peer, callerAddress: settings.listen.caller,
			},
			seeds: settings.seeds.map(seed => `${parseAddress(seed).host}:${port}`),
			instanceList: this.registry,
			caller: this.peerClient,
			registry: this.peerServer,
			clock, random, logger,
			invariants: new InvariantChecker({
				isStrict: false,
				onViolation(name, detail) {
					logger.error('invariant violated', {name, detail});
				},
			}),
			calculateTimeout: calculateLifeMs,
			readRevision: () => this.table === undefined ? -1 as never : this.feeds.readRevision(),
		});
	}

	private createRollout(self: InstanceId): RolloutController {
		const {settings, adapter, clock, logger} = this.options;
		const {host} = parseAddress(settings.listen.peer);
		return new RolloutController({
			clock, logger, fleet: this.fleet,
			lease: new Lease({
				objectApi: this.relayedApi, clock, name: rolloutLeaseName, holder: host, incarnation: createIncarnation(clock.readWall()),
				durationMs: rolloutLeaseMs, succeedsOwnHolder: true, maximumReadGapMs: rolloutLeaseMs,
			}),
			commander: adapter.createCommander(self),
			listWanted: () => this.weights.list(),
			isContender: () => this.isContender(),
			announce: notice => {
				this.notices.announce(notice);
			},
		});
	}

	/** The instances that started last contend for the lease: in a rolling restart they are not stopped again soon. */
	private isContender(): boolean {
		const live = this.membership.listLive(this.options.clock.readMonotonic()).filter(member => member.state === 'live');
		const youngest = live.toSorted((a, b) => a.incarnation > b.incarnation ? -1 : 1).slice(0, contenders);
		return youngest.some(member => member.id === this.options.settings.instance);
	}

	private applyConfiguration(configuration: RoutingConfiguration): void {
		this.table = new RoutingTable(configuration);
		this.listener.applyLimits(configuration.limits);
		this.quota.apply(configuration.organisations);
	}

	private applyWeights({model, version}: WeightsNotice): void {
		if (this.weights.note(model, version, this.options.clock.readMonotonic())) {
			this.options.logger.info('weights named', {model, version});
		}
	}

	private createContext(): ForwardingContext {
		const {settings, adapter, clock, logger, random, metrics} = this.options;
		return {
			clock, logger, fleet: this.fleet, prefixes: this.prefixes, exchange: this.exchange, protocol: adapter.targetProtocol, quota: this.quota,
			dataCentre: settings.dataCentre as DataCentreId,
			draw: () => random.pickIndex(drawSteps) / drawSteps,
			findNamedWeights: model => this.weights.find(model),
			findRetryBudget: service => this.retryBudgets.find(service),
			findService: service => this.table?.findService(service),
			listCacheStores: () => this.table?.configuration.cacheStores ?? [],
			report(report) {
				metrics.noteCall(report);
			},
		};
	}

	private answerDirectory(url: URL) {
		const {adapter, random, clock} = this.options;
		const question = adapter.readAddressQuestion(url);
		if (question === undefined) {
			return {status: 404, body: {}};
		}

		const live = this.membership.listLive(clock.readMonotonic());
		const addresses = chooseAddresses({live, self: this.membership.readSelf(), dataCentre: question.dataCentre}, random);
		return adapter.answerAddresses(addresses.map(member => member.callerAddress), addressValiditySeconds);
	}

	private async runPruning(signal: AbortSignal): Promise<void> {
		const {clock} = this.options;
		while (!signal.aborted) {
			await clock.sleep(pruneIntervalMs, signal);
			this.exchange.prune(new Set(this.fleet.list()));
		}
	}

	private addGauges(): void {
		this.options.metrics.addGauges({
			calls_in_progress: {help: 'Calls being served.', read: () => this.listener.callsInProgress},
			members: {help: 'Live instances, this one included.', read: () => this.listPeers().length + 1},
			configuration_revision: {help: 'Revision of the configuration in force, -1 for none.', read: () => this.feeds.readRevision()},
		});
	}
}
