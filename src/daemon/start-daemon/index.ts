/** Wires the parts of the daemon together. */

import {FleetBudget} from '../../budget/fleet-budget/index.js';
import type {Configuration} from '../../configuration/configuration/index.js';
import {pollResources} from '../../configuration/poll-resources/index.js';
import type {Revision} from '../../identity/ids/index.js';
import {noRevision} from '../../membership/membership/index.js';
import {CallerServer} from '../../requests/caller-server/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';
import {HttpEngineClient} from '../../targets/http-engine-client/index.js';
import {TargetDirectory} from '../../targets/target-directory/index.js';
import {createCore, type DaemonCore} from '../create-core/index.js';
import {createRequestPath} from '../create-request-path/index.js';
import type {Settings} from '../settings/index.js';

/** A running daemon. */
export type Daemon = {
	/** `host:port` of the caller listener. */
	readonly address: string;
	/** Stops gracefully: resolves when all requests have been served. */
	stop(): Promise<void>;
};

/** The configuration in force; nothing until the first one is applied. */
class ConfigurationHolder {
	current: Configuration | undefined;

	read(): Configuration {
		if (this.current === undefined) {
			throw createRouterError('notReady');
		}

		return this.current;
	}

	readRevision(): Revision {
		return this.current?.revision ?? noRevision;
	}
}

/** Starts a daemon with checked settings. */
export async function startDaemon(settings: Settings): Promise<Daemon> {
	const holder = new ConfigurationHolder();
	const core = createCore(settings, () => holder.readRevision());
	const targets = createTargets(core);
	const budget = createBudget(core);
	registerConfiguration(core, holder, targets, budget);
	const server = new CallerServer(createRequestPath(core, targets, budget, () => holder.read()));
	await core.parts.start();
	const address = await server.listen();
	core.logger.info('daemon started', {caller: address});
	return {
		address,
		async stop() {
			await server.close();
			await core.parts.stop();
			core.logger.info('daemon stopped');
		},
	};
}

function createTargets({settings, clock, logger, parts}: DaemonCore): TargetDirectory {
	const createClient = (target: {address: string}) => new HttpEngineClient({address: target.address, silenceMs: settings.streamSilenceMs});
	const targets = new TargetDirectory(clock, logger, createClient);
	parts.register({name: 'targets', stop: async () => targets.stop()});
	return targets;
}

function createBudget({clock, objectApi, peerClient, peerServer, membership, logger, parts}: DaemonCore): FleetBudget {
	const budget = new FleetBudget({
		incarnation: membership.readSelf().incarnation, clock, objectApi, peers: peerClient, methods: peerServer, members: membership, logger,
	});
	parts.register({
		name: 'budget',
		start() {
			budget.start();
		},
		stop: async () => budget.stop(),
		dump: () => budget.dump(),
	});
	return budget;
}

/** Follows the configuration. `holder` has the one in force. */
function registerConfiguration(core: DaemonCore, holder: ConfigurationHolder, targets: TargetDirectory, budget: FleetBudget): void {
	const {objectApi, clock, logger, parts} = core;
	const controller = new AbortController();
	parts.register({
		name: 'configuration',
		start() {
			void pollResources({
				objectApi, clock, logger, signal: controller.signal,
				apply(configuration) {
					holder.current = configuration;
					targets.apply(configuration);
					budget.applyOrganisations(configuration.data.organisations);
					logger.info('configuration applied', {revision: configuration.revision});
				},
			});
		},
		stop() {
			controller.abort();
		},
		dump: () => ({revision: holder.readRevision()}),
	});
}
