/** Spreads what a rollout does to engines, so that no instance sends calls to one that is about to load. */

import type {Clock} from '../../clock/clock/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {InstanceId} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {PeerCaller, PeerMethodRegistry} from '../../peers/peer-caller/index.js';
import type {RolloutNotice} from '../rollout-controller/index.js';

/** JSON-RPC method of the notices. */
export const noticeMethod = 'rollout.notice';
const noticeTimeoutMs = 300;

/** What the notices need. */
export type RolloutNoticesOptions = {
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly fleet: TargetFleet;
	readonly caller: PeerCaller;
	readonly registry: PeerMethodRegistry;
	readonly listPeers: () => readonly InstanceId[];
};

/** Sends and applies notices. */
export class RolloutNotices {
	constructor(private readonly options: RolloutNoticesOptions) {
		options.registry.register(noticeMethod, async parameters => this.apply(parameters as RolloutNotice[]));
	}

	/** Tells all live instances. An engine that changes refuses calls by itself; a lost notice only costs attempts. */
	announce(notices: readonly RolloutNotice[]): void {
		const {caller, logger, listPeers} = this.options;
		for (const peer of listPeers()) {
			caller.call(peer, noticeMethod, notices, noticeTimeoutMs).catch((error: unknown) => {
				logger.warn('rollout notice lost', {peer, reason: (error as Error).message});
			});
		}
	}

	private apply(notices: readonly RolloutNotice[]): boolean {
		const {clock, fleet} = this.options;
		const now = clock.readMonotonic();
		for (const notice of notices) {
			const target = fleet.locate(notice.target);
			if (target !== undefined) {
				target.cordonedUntil = now + notice.cordonMs;
				target.noteVersion(notice.model, notice.version);
			}
		}

		fleet.notify();
		return true;
	}
}
