/** Creates the components of the daemon and starts them. */

import type {FleetBudget} from '../../budget/fleet-budget/index.js';
import type {Configuration} from '../../configuration/configuration/index.js';
import type {ConfigurationFollower} from '../../configuration/configuration-follower/index.js';
import type {Revision} from '../../identity/ids/index.js';
import {noRevision} from '../../membership/membership/index.js';
import {CallerServer} from '../../requests/caller-server/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';
import {registerTargetController} from '../../orders/register-target-controller/index.js';
import {HttpEngineClient} from '../../targets/http-engine-client/index.js';
import {LeavingTargets} from '../../targets/leaving-targets/index.js';
import {HttpInstanceList} from '../../store/http-instance-list/index.js';
import {TargetDirectory} from '../../targets/target-directory/index.js';
import {createCore, type DaemonCore} from '../create-core/index.js';
import {createRequestPath} from '../create-request-path/index.js';
import {PlannedStop, type StopOutcome} from '../planned-stop/index.js';
import {registerAdmin} from '../register-admin/index.js';
import {registerBudget} from '../register-budget/index.js';
import {registerConfigurationComponents} from '../register-configuration-components/index.js';
import type {Settings} from '../settings/index.js';

/** A running daemon. */
export type Daemon = {
	/** `host:port` of the caller listener. */
	readonly address: string;
	/** Stops gracefully. Resolves when all requests have been served and all components have stopped. */
	stop(): Promise<StopOutcome>;
	/** Ends a stop in progress without waiting for callers and requests. */
	forceStop(): void;
};

/** Holds the configuration in force, which is undefined until the first one is applied. */
class ConfigurationHolder {
	current: Configuration | undefined;
	follower: ConfigurationFollower | undefined;

	read(): Configuration {
		if (this.follower === undefined) {
			throw createRouterError('notReady');
		}

		return this.follower.readConfiguration();
	}

	readRevision(): Revision {
		return this.current?.revision ?? noRevision;
	}
}

/** Starts a daemon with validated settings. */
export async function startDaemon(settings: Settings): Promise<Daemon> {
	const holder = new ConfigurationHolder();
	const core = createCore(settings, () => holder.readRevision());
	const targets = createTargets(core);
	const budget = registerBudget(core);
	registerConfiguration(core, holder, targets, budget);
	const server = new CallerServer(createRequestPath(core, targets, budget, () => holder.read()));
	registerTargetController(core, targets, () => holder.current);
	registerAdmin(core, server, () => holder.readRevision());
	await core.components.start();
	const address = await server.listen();
	core.logger.info('daemon started', {caller: address});
	const plannedStop = createPlannedStop(core, server);
	return {
		address,
		stop: async () => plannedStop.run(),
		forceStop() {
			plannedStop.force();
		},
	};
}

function createPlannedStop({settings, clock, logger, components}: DaemonCore, server: CallerServer): PlannedStop {
	return new PlannedStop({
		clock, logger,
		addressValidityMs: settings.addressValidityMs,
		marginMs: settings.stop.marginMs,
		maximumMs: settings.stop.maximumMs,
		leave() {
			components.leave();
		},
		drain: async () => server.close(),
		abortRequests() {
			server.closeAllConnections();
		},
		release: async () => components.stop(),
	});
}

function createTargets({settings, clock, logger, components}: DaemonCore): TargetDirectory {
	const createClient = (target: {address: string}) => new HttpEngineClient({address: target.address, silenceMs: settings.streamSilenceMs});
	const {instanceList} = settings.platform;
	const leaving = new LeavingTargets(clock, instanceList === undefined ? undefined : new HttpInstanceList(instanceList));
	const targets = new TargetDirectory(clock, logger, createClient, leaving);
	components.register({
		name: 'targets',
		start() {
			leaving.start();
		},
		async stop() {
			leaving.stop();
			await targets.stop();
		},
		dump: () => ({leaving: leaving.dump(), engines: targets.dump()}),
	});
	return targets;
}

/** Registers the components that follow the configuration; `holder` receives each one that is applied. */
function registerConfiguration(core: DaemonCore, holder: ConfigurationHolder, targets: TargetDirectory, budget: FleetBudget): void {
	holder.follower = registerConfigurationComponents(core, configuration => {
		holder.current = configuration;
		targets.apply(configuration);
		budget.applyOrganisations(configuration.data.organisations);
	});
}
