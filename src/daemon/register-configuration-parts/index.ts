/** Wires acceptor and follower of the configuration into the daemon. */

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
 * Short, so that a withdrawn key stops within 5 s even if the acceptor's instance crashes. The
 * compare-and-swap on the head is what keeps two acceptors safe, not this duration.
 */
const leaseDurationMs = 2000;
/** Below a quarter of the duration, so that every contender's observation counts. */
const leaseIntervalMs = 400;

/** Registers the parts `configuration` and `acceptor`. `apply` brings a configuration in force. */
export function registerConfigurationParts(core: DaemonCore, apply: (configuration: Configuration) => void): ConfigurationFollower {
	const {settings, clock, logger, random, invariants, objectApi, peerServer, peerClient, membership, parts} = core;
	const contact = new ContactMonitor(() => membership.readLastHeartbeatAt());
	objectApi.onHeard = () => {
		contact.noteStore(clock.readMonotonic());
	};

	const shared = {
		objectApi, clock, logger, random, metrics: createConfigurationMetrics(core.metrics.registry), members: membership,
	};
	const follower = new ConfigurationFollower({
		...shared, invariants, contact, apply, peers: peerClient, registry: peerServer, seeds: settings.seeds,
		callAddress: async (...call) => peerClient.callAddress(...call),
	});
	const controller = new AbortController();
	setMaxListeners(0, controller.signal);
	parts.register({
		name: 'configuration',
		start() {
			void follower.run(controller.signal);
		},
		stop() {
			controller.abort();
		},
		dump: () => follower.dump(),
	});
	registerAcceptor(core, shared);
	return follower;
}

function registerAcceptor({clock, parts, settings, membership, objectApi}: DaemonCore, shared: AcceptorParts): void {
	const {incarnation} = membership.readSelf();
	const lease = new Lease({
		objectApi, clock, name: acceptorLeaseName, holder: settings.instance, incarnation, durationMs: leaseDurationMs, mayReplaceEarlierIncarnation: true,
	});
	const acceptor = new ConfigurationAcceptor({
		...shared, writer: `${settings.instance}/${incarnation}`, isLeader: () => lease.isHeld(clock.readMonotonic()),
	});
	const controller = new AbortController();
	setMaxListeners(0, controller.signal);
	parts.register({
		name: 'acceptor',
		start() {
			void renewLease(lease, shared, controller.signal);
			void acceptor.run(controller.signal);
		},
		async stop() {
			controller.abort();
			await lease.release();
		},
		dump: () => acceptor.dump(),
	});
}

type AcceptorParts = Omit<ConstructorParameters<typeof ConfigurationAcceptor>[0], 'writer' | 'isLeader'>;

/** Contends for the lease while this instance is one of those that watch the store. */
async function renewLease(lease: Lease, {clock, random, members, logger}: AcceptorParts, signal: AbortSignal): Promise<void> {
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

		await clock.sleep(random.spreadPause(leaseIntervalMs), signal);
	}
}
