/** Wires the parts of the daemon together. */

import {SystemClock, type Clock} from '../../clock/clock/index.js';
import type {Configuration} from '../../configuration/configuration/index.js';
import {pollResources} from '../../configuration/poll-resources/index.js';
import {StaticBudgetGate} from '../../budget/static-budget-gate/index.js';
import {EngineGate} from '../../fairness/engine-gate/index.js';
import {createLogger} from '../../logging/create-logger/index.js';
import {HttpObjectApi} from '../../platform/http-object-api/index.js';
import {createPlacement} from '../../placement/create-placement/index.js';
import {CallerServer} from '../../requests/caller-server/index.js';
import type {RouterContext} from '../../requests/router-context/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';
import {HttpEngineClient} from '../../targets/http-engine-client/index.js';
import {TargetDirectory} from '../../targets/target-directory/index.js';
import type {Settings} from '../settings/index.js';

const msPerSecond = 1000;

/** A running daemon. */
export type Daemon = {
	/** `host:port` of the caller listener. */
	readonly address: string;
	/** Stops gracefully: resolves when all requests have been served. */
	stop(): Promise<void>;
};

/** Starts a daemon with checked settings. */
export async function startDaemon(settings: Settings): Promise<Daemon> {
	const clock = new SystemClock();
	const logger = createLogger({instance: settings.instance});
	const objectApi = new HttpObjectApi({origin: settings.platform.objectApi});
	const controller = new AbortController();
	const createClient = (target: {address: string}) => new HttpEngineClient({address: target.address, silenceMs: settings.streamSilenceMs});
	const targets = new TargetDirectory(clock, logger, createClient);
	let current: Configuration | undefined;
	const context: RouterContext = {
		settings, clock, logger, targets,
		gate: createGate(settings, clock),
		budget: new StaticBudgetGate(clock, 1),
		readConfiguration() {
			if (current === undefined) {
				throw createRouterError('notReady');
			}

			return current;
		},
		chooseAddresses() {
			return {
				instances: [{id: settings.instance, address: settings.listen.caller, data_centre: settings.dataCentre}],
				valid_for_seconds: settings.addressValidityMs / msPerSecond,
			};
		},
	};
	void pollResources({
		objectApi, clock, logger, signal: controller.signal,
		apply(configuration) {
			current = configuration;
			targets.apply(configuration);
			logger.info('configuration applied', {revision: configuration.revision});
		},
	});
	const server = new CallerServer(context);
	const address = await server.listen();
	logger.info('daemon started', {caller: address});
	return {
		address,
		async stop() {
			await server.close();
			controller.abort();
			await targets.stop();
			await objectApi.close();
			logger.info('daemon stopped');
		},
	};
}

function createGate(settings: Settings, clock: Clock): EngineGate {
	const {strategy, prefillTokensPerMs, engineBacklogMs} = settings.placement;
	return new EngineGate({
		clock,
		placement: createPlacement(strategy, {...settings.placement, dataCentre: settings.dataCentre}),
		prefillTokensPerMs,
		engineBacklogMs,
		queueWaitMs: settings.limits.queueWaitMs,
		queuedRequests: settings.limits.queuedRequests,
		// Seeds name the other instances until membership counts the live ones.
		countInstances: () => Math.max(1, settings.seeds.length),
	});
}
