/** Creates the component of a gateway that takes part in rollouts of software versions, with its lease. */

import type {Clock} from '../../clock/clock/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import type {InstanceId, ResourceVersion} from '../../identity/ids/index.js';
import {Lease} from '../../leases/lease/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import {createIncarnation} from '../../membership/create-incarnation/index.js';
import type {Member} from '../../membership/member/index.js';
import type {DatagramTransport} from '../../peers/datagram-channel/index.js';
import {softwareLeaseMs, softwareLeaseName} from '../../software-rollout/rollout-holder/index.js';
import {SoftwareRollouts} from '../../software-rollout/software-rollouts/index.js';
import type {StoredObject} from '../../store/object-api/index.js';
import type {PlatformAdapter} from '../platform-adapter/index.js';
import type {SettingsStore} from '../settings-store/index.js';

/** Dependencies of the rollouts. */
export type SoftwareRolloutSetup = {
	readonly settings: SettingsStore;
	readonly adapter: Pick<PlatformAdapter, 'objectApi' | 'collections' | 'decodeRollout' | 'encodeRolloutStatus'>;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly fleet: TargetFleet;
	readonly channel: DatagramTransport;
	/** Live instances, including this one. */
	readonly listLive: () => readonly Member[];
};

/** The rollouts, and the handler of stored orders. */
export type SoftwareRolloutParts = {
	readonly rollouts: SoftwareRollouts;
	/** Sources of gauges for `listGauges`. */
	readonly sources: readonly SoftwareRollouts[];
	/** Replaces the known orders by those that are stored. */
	readonly onRollouts: (objects: readonly StoredObject[], version: ResourceVersion) => void;
};

/** Creates the rollouts; undefined if the settings don't ask for them. */
export function createSoftwareRollouts(setup: SoftwareRolloutSetup): SoftwareRolloutParts | undefined {
	const {settings, adapter, clock, logger} = setup;
	const bounds = settings.current.softwareRollout;
	if (bounds === undefined) {
		return undefined;
	}

	const {objectApi, collections} = adapter;
	const incarnation = createIncarnation(clock.readWall());
	const rollouts = new SoftwareRollouts({
		...setup, incarnation, self: settings.current.instance as InstanceId,
		lease: new Lease({
			objectApi, clock, name: softwareLeaseName, holder: parseAddress(settings.current.listen.peer).host, incarnation,
			durationMs: softwareLeaseMs, mayReplaceEarlierIncarnation: true, maximumReadGapMs: softwareLeaseMs,
		}),
		readBounds: () => bounds,
		async writeStatus({objectName, version}, status) {
			return objectApi.updateStatus(collections.rollouts, objectName, adapter.encodeRolloutStatus(status), version);
		},
	});
	return {
		rollouts,
		sources: [rollouts],
		onRollouts(objects, version) {
			rollouts.replaceStored(objects.flatMap(object => decodeOrder(object, adapter, logger)), version);
		},
	};
}

/** Combines components that release leases in a planned stop. Each is stopped, also if another one fails. */
export function joinStops(parts: ReadonlyArray<{stop(): Promise<void>} | undefined>): {stop(): Promise<void>} {
	return {
		async stop() {
			await Promise.all(parts.map(async part => part?.stop()));
		},
	};
}

function decodeOrder(object: StoredObject, adapter: Pick<PlatformAdapter, 'decodeRollout'>, logger: EventLogger) {
	const order = adapter.decodeRollout(object);
	if (order === undefined) {
		logger.warn('software rollout ignored', {object: object.name, reason: 'fields are missing or not valid'});
		return [];
	}

	return [order];
}
