/** Wires the acceptor and the follower of the configuration into the daemon. */

import {setMaxListeners} from 'node:events';
import type {Configuration} from '../../configuration/configuration/index.js';
import {ConfigurationAcceptor, acceptorLeaseName} from '../../configuration/configuration-acceptor/index.js';
import {ConfigurationFollower} from '../../configuration/configuration-follower/index.js';
import {createConfigurationMetrics} from '../../configuration/configuration-metrics/index.js';
import {chooseWatchers} from '../../configuration/choose-watchers/index.js';
import {ContactMonitor} from '../../keys/contact-monitor/index.js';
import {Lease} from '../../leases/lease/index.js';
import type {DaemonCore} from '../create-core/index.js';

/**
 * Short, so that a withdrawn key stops working within 5 s even if the acceptor's instance crashes. Two concurrent
 * acceptors are safe because the head is written by compare-and-swap; safety does not depend on this duration.
 */
const acceptorLeaseDurationMs = 2000;
/** Below a quarter of the lease duration: with longer gaps between reads, a contender's observation of the lease does not count. */
const leaseRenewalIntervalMs = 400;

/** Registers the components `configuration` and `acceptor`. `apply` puts a configuration in force. */
export function registerConfigurationComponents(core: DaemonCore, apply: (configuration: Configuration) => void): ConfigurationFollower {
	const {settings, clock, logger, random, invariants, objectApi, peerServer, peerClient, membership, components} = core;
	const contact = new ContactMonitor(() => membership.readLastHeartbeatAt());
	objectApi.onHeard = () => {
		contact.recordStoreContact(clock.readMonotonic());
	};

	const sharedOptions = {
		objectApi, clock, logger, random, metrics: createConfigurationMetrics(core.metrics.registry), members: membership,
	};
	const follower = new ConfigurationFollower({
		...sharedOptions, invariants, contact, apply, peers: peerClient, registry: peerServer, seeds: settings.seeds,
		callAddress: async (...call) => peerClient.callAddress(...call),
	});
	const controller = new AbortController();
	setMaxListeners(0, controller.signal);
	components.register({
		name: 'configuration',
		start() {
			void follower.run(controller.signal);
		},
		stop() {
			controller.abort();
		},
		dump: () => follower.dump(),
	});
	registerAcceptor(core, sharedOptions);
	return follower;
}

function registerAcceptor({clock, components, settings, membership, objectApi}: DaemonCore, sharedOptions: SharedOptions): void {
	const {incarnation} = membership.readSelf();
	const lease = new Lease({
		objectApi, clock, name: acceptorLeaseName, holder: settings.instance, incarnation, durationMs: acceptorLeaseDurationMs,
		mayReplaceEarlierIncarnation: true,
	});
	const acceptor = new ConfigurationAcceptor({
		...sharedOptions, writer: `${settings.instance}/${incarnation}`, isLeader: () => lease.isHeld(clock.readMonotonic()),
	});
	const controller = new AbortController();
	setMaxListeners(0, controller.signal);
	components.register({
		name: 'acceptor',
		start() {
			void holdAcceptorLease(lease, sharedOptions, controller.signal);
			void acceptor.run(controller.signal);
		},
		async stop() {
			controller.abort();
			await lease.release();
		},
		dump: () => acceptor.dump(),
	});
}

type SharedOptions = Omit<ConstructorParameters<typeof ConfigurationAcceptor>[0], 'writer' | 'isLeader'>;

/** Renews the lease while it is held, and contends for it while this instance is one of those that watch the store. */
async function holdAcceptorLease(lease: Lease, {clock, random, members, logger}: SharedOptions, signal: AbortSignal): Promise<void> {
	let isFailing = false;
	while (!signal.aborted) {
		try {
			const watchers = chooseWatchers(members.listLive(clock.readMonotonic()));
			if (lease.isHeld(clock.readMonotonic()) || watchers.has(members.readSelf().id)) {
				await lease.acquire();
			}

			isFailing = false;
		} catch (error) {
			if (!isFailing) {
				logger.warn('acceptor lease not renewed', {reason: (error as Error).message});
			}

			isFailing = true;
		}

		await clock.sleep(random.applyJitter(leaseRenewalIntervalMs), signal);
	}
}
