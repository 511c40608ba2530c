/** A router with stand-in engines and services in one process, for tests and benchmarks of the request path. */

import {Registry} from 'prom-client';
import type {BudgetGate} from '../../budget/budget-gate/index.js';
import {SystemClock} from '../../clock/clock/index.js';
import {Configuration} from '../../configuration/configuration/index.js';
import {resolveConfiguration} from '../../configuration/resolve-configuration/index.js';
import {settingsSchema, type Settings} from '../../daemon/settings/index.js';
import {ServiceRetryBudgets} from '../../gateway/service-retry-budgets/index.js';
import type {MonotonicMs, Revision} from '../../identity/ids/index.js';
import {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import {hashKey} from '../../keys/hash-key/index.js';
import {CallerIntake} from '../../intake/caller-intake/index.js';
import {createLogger} from '../../logging/create-logger/index.js';
import {MemoryObjectApi} from '../../store/memory-object-api/index.js';
import {EngineGate} from '../../fairness/engine-gate/index.js';
import {RoundRobinPlacement} from '../../placement/round-robin-placement/index.js';
import {CallerServer} from '../../requests/caller-server/index.js';
import {createServiceConnections} from '../../requests/forward-call/index.js';
import {IdempotencyRecords} from '../../requests/idempotency-records/index.js';
import {RequestMetrics} from '../../requests/request-metrics/index.js';
import type {RouterContext} from '../../requests/router-context/index.js';
import type {Resource} from '../../resources/schemas/index.js';
import {listenLocally} from '../../http/listen-locally/index.js';
import {HttpEngineClient} from '../../targets/http-engine-client/index.js';
import {TargetDirectory} from '../../targets/target-directory/index.js';
import {EngineServer} from '../engine-server/index.js';
import type {EngineSpeed} from '../engine-simulator/index.js';
import {ServiceServer} from '../service-server/index.js';

/** Secret of the key `local`, of organisation `studio`. */
export const localSecret = 'local-secret-5f1d';
/** Secret of the key `other`, of another organisation. */
export const otherSecret = 'other-secret-77aa';

/** Options of a local fleet. */
export type LocalFleetOptions = {
	readonly engines?: number;
	readonly services?: number;
	readonly speed?: Partial<EngineSpeed>;
	/** Time without data from an engine after which the router closes the connection. */
	readonly silenceMs?: number;
	readonly limits?: Partial<Settings['limits']>;
	readonly budget?: BudgetGate;
};

const fleet = 'north';
const defaultSilenceMs = 300;
const readyPollIntervalMs = 5;
/** Retries of each service. */
const retryAllowance = {ratio: 0.1, extra: 20, windowMs: 10_000};
/** Time for which the instance has run when it is created, in milliseconds. */
const runningMs = 60_000;

/** A router, engines and services. Model `fixed` is deterministic, model `assistant` is not. */
export class LocalFleet {
	readonly engines: EngineServer[];
	readonly services: ServiceServer[];
	readonly objectApi = new MemoryObjectApi();
	readonly registry = new Registry();
	readonly clock = new SystemClock();
	/** `host:port` of the caller listener. */
	address = '';
	context!: RouterContext;
	readonly targets: TargetDirectory;
	readonly placement = new RoundRobinPlacement();
	private readonly logger = createLogger({}, true);
	private readonly retryBudgets: ServiceRetryBudgets;
	private readonly serviceConnections = createServiceConnections();
	private readonly speed: EngineSpeed;
	private callerServer!: CallerServer;
	private configuration!: Configuration;
	private resources: Resource[] = [];

	constructor(private readonly options: LocalFleetOptions = {}) {
		const speed = {
			slots: 64, prefillTokensPerMs: 1000, decodeMsPerToken: 1, ...options.speed,
		};
		this.speed = speed;
		this.retryBudgets = new ServiceRetryBudgets(() => retryAllowance, () => 1, this.clock.readMonotonic() - runningMs as MonotonicMs);
		this.engines = Array.from({length: options.engines ?? 2}, () => new EngineServer({
			speed, cacheBlocks: 256, models: [{base: 'base', weightsVersion: 'v1', state: 'ready'}], checksFencing: true,
			loadLagMs: 50, eventLagMs: 10, loadMs: 10,
		}));
		this.services = Array.from({length: options.services ?? 2}, (_, index) => new ServiceServer(`orders-${index}`));
		const silenceMs = options.silenceMs ?? defaultSilenceMs;
		this.targets = new TargetDirectory(this.clock, this.logger, target => new HttpEngineClient({address: target.address, silenceMs}));
	}

	/** Starts all servers and waits until the router has read the state of each engine. */
	async start(): Promise<this> {
		const engineAddresses = await Promise.all(this.engines.map(async engine => listenLocally(engine.server)));
		const serviceAddresses = await Promise.all(this.services.map(async service => listenLocally(service.server)));
		this.apply(createLocalResources(engineAddresses, serviceAddresses));
		const settings = settingsSchema.parse({
			instance: 'entry-0', fleet, dataCentre: 'north-0', platform: {objectApi: 'http://127.0.0.1:1'},
			listen: {caller: '127.0.0.1:0', peer: '127.0.0.1:0', admin: '127.0.0.1:0'}, limits: this.options.limits ?? {},
			streamSilenceMs: this.options.silenceMs ?? defaultSilenceMs,
		});
		const metrics = new RequestMetrics({registry: this.registry, invariants: new InvariantChecker({isStrict: true})});
		this.context = {
			settings, clock: this.clock, logger: this.logger, targets: this.targets,
			intake: new CallerIntake({
				clock: this.clock, logger: this.logger, readLimits: () => ({heldBytes: settings.limits.heldBodyBytes, stallMs: settings.limits.bodyStallMs}),
			}),
			gate: new EngineGate({
				clock: this.clock, placement: this.placement, prefillTokensPerMs: this.speed.prefillTokensPerMs, engineBacklogMs: 1000,
				queueWaitMs: settings.limits.queueWaitMs, queuedRequests: settings.limits.queuedRequests, countInstances: () => 1,
			}),
			budget: this.options.budget ?? {admit: async () => ({settle() {/* Unlimited. */}})},
			metrics,
			idempotency: new IdempotencyRecords({objectApi: this.objectApi, clock: this.clock, metrics}),
			findRetryBudget: service => this.retryBudgets.find(service),
			serviceConnections: this.serviceConnections,
			readConfiguration: () => this.configuration,
			chooseAddresses: () => ({instances: [], valid_for_seconds: 1}),
		};
		this.callerServer = new CallerServer(this.context);
		this.address = await this.callerServer.listen();
		await this.waitForEngines();
		return this;
	}

	/** Applies changed resources as a new revision of the configuration. */
	apply(resources: Resource[]): void {
		this.resources = resources;
		this.configuration = new Configuration(((this.configuration?.revision ?? 0) + 1) as Revision, resolveConfiguration(resources));
		this.targets.apply(this.configuration);
	}

	/** Withdraws the key of `localSecret`. */
	withdrawKey(): void {
		this.apply(this.resources.map(resource => resource.kind === 'Key' && resource.name === 'local' ? {...resource, state: 'withdrawn'} : resource));
	}

	/** Removes all engines from the configuration; their servers go on. */
	removeEngines(): void {
		this.apply(this.resources.filter(resource => resource.kind !== 'Target' || resource.type !== 'engine'));
	}

	/** Returns the sum of a counter's samples that have all of `labels`. */
	async readCounter(name: string, labels: Readonly<Record<string, string>> = {}): Promise<number> {
		const metric = await this.registry.getSingleMetric(name)?.get();
		return (metric?.values ?? [])
			.filter(sample => Object.entries(labels).every(([label, value]) => (sample.labels as Record<string, unknown>)[label] === value))
			.reduce((sum, sample) => sum + sample.value, 0);
	}

	/** Counts the runs of a prompt at all engines. */
	countRuns(prompt: string): number {
		return this.engines.reduce((sum, engine) => sum + (engine.runs.get(prompt) ?? 0), 0);
	}

	/** Aborts the calls in progress, as a daemon does at the end of its stop. */
	abortCalls(): void {
		this.callerServer.closeAllConnections();
	}

	/** Closes all listeners and connections. */
	async stop(): Promise<void> {
		const servers = [...this.engines, ...this.services].map(target => target.server);
		for (const server of servers) {
			server.close();
			server.closeAllConnections();
		}

		await this.targets.stop();
		await this.serviceConnections.destroy();
		await this.callerServer.close();
	}

	private async waitForEngines(): Promise<void> {
		while (this.targets.list().some(monitor => monitor.readState(this.clock.readMonotonic()) === undefined)) {
			await this.clock.sleep(readyPollIntervalMs);
		}
	}
}

function createLocalResources(engines: readonly string[], services: readonly string[]): Resource[] {
	const createRoute = (name: string, policy: {access: 'open' | 'keyed'; repeatable: 'byMethod' | 'always' | 'never'}): Resource => ({
		kind: 'Route', fleet, name, pathPrefix: `/${name}`, service: 'orders', timeoutMs: 300, ...policy,
	});
	const createTarget = (type: 'engine' | 'service') => (address: string, index: number): Resource => ({
		kind: 'Target', fleet, name: `${type}-${index}`, dataCentre: 'north-0', type, address,
		models: type === 'engine' ? ['assistant', 'fixed'] : [], service: type === 'service' ? 'orders' : undefined,
		checksFencing: true, role: 'mixed', state: 'live',
	});
	const createOrganisation = (name: string, key: string, secret: string): Resource[] => [
		{
			kind: 'Organisation', fleet, name, tokensPerSecond: 1e6, burstTokens: 1e7, weight: 1,
		},
		{
			kind: 'Key', fleet, name: key, organisation: name, sha256: hashKey(secret), state: 'active',
		},
	];
	return [
		...createOrganisation('studio', 'local', localSecret),
		...createOrganisation('other', 'other', otherSecret),
		{
			kind: 'Model', fleet, name: 'assistant', base: 'base', weightsVersion: 'v1', deterministic: false,
		},
		{
			kind: 'Model', fleet, name: 'fixed', base: 'base', weightsVersion: 'v1', deterministic: true,
		},
		createRoute('orders', {access: 'keyed', repeatable: 'byMethod'}),
		createRoute('payments', {access: 'keyed', repeatable: 'never'}),
		createRoute('search', {access: 'keyed', repeatable: 'always'}),
		createRoute('public', {access: 'open', repeatable: 'byMethod'}),
		...engines.map((address, index) => createTarget('engine')(address, index)),
		...services.map((address, index) => createTarget('service')(address, index)),
	];
}
