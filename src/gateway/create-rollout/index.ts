/** Creates the controller of weights rollouts on a gateway instance, with its lease. */

import type {Clock} from '../../clock/clock/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import type {InstanceId} from '../../identity/ids/index.js';
import {Lease} from '../../leases/lease/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import {createIncarnation} from '../../membership/create-incarnation/index.js';
import type {Member} from '../../membership/member/index.js';
import {chooseContenders} from '../../rollout/choose-contenders/index.js';
import {calculateOrderPauseMs, rolloutLeaseMs} from '../../rollout/calculate-order-pause/index.js';
import {RolloutController, rolloutLeaseName} from '../../rollout/rollout-controller/index.js';
import type {RolloutNotices} from '../../rollout/rollout-notices/index.js';
import type {WeightsRegistry} from '../../rollout/weights-registry/index.js';
import type {RelayedObjectApi} from '../../store/relayed-object-api/index.js';
import type {PlatformAdapter} from '../platform-adapter/index.js';
import type {SettingsStore} from '../settings-store/index.js';

/** Dependencies of the controller. */
export type RolloutSetup = {
	readonly self: InstanceId;
	readonly settings: SettingsStore;
	readonly adapter: PlatformAdapter;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly objectApi: RelayedObjectApi;
	readonly fleet: TargetFleet;
	readonly weights: WeightsRegistry;
	readonly notices: RolloutNotices;
	/** Live instances, including this one. */
	readonly listLive: () => readonly Member[];
	/** Whether this instance reaches no target, so that it can't send orders. */
	readonly isCutOff: () => boolean;
};

/** Creates the controller. */
export function createRollout(setup: RolloutSetup): RolloutController {
	const {self, settings, adapter, clock, logger, objectApi, fleet, weights, notices, listLive, isCutOff} = setup;
	const {host} = parseAddress(settings.current.listen.peer);
	return new RolloutController({
		clock, logger, fleet,
		lease: new Lease({
			objectApi, clock, name: rolloutLeaseName, holder: host, incarnation: createIncarnation(clock.readWall()),
			durationMs: rolloutLeaseMs, mayReplaceEarlierIncarnation: true, maximumReadGapMs: rolloutLeaseMs,
			calculatePauseMs: calculateOrderPauseMs,
		}),
		commander: adapter.createCommander(self),
		listDesiredVersions: () => weights.list(),
		isContender: () => !isCutOff() && chooseContenders(listLive()).some(member => member.id === self),
		announce(notice) {
			notices.announce(notice);
		},
	});
}
