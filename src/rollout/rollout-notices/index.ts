/** Announces the cordons of a rollout to all instances, so that none sends calls to an engine that is about to load. */

import type {Clock} from '../../clock/clock/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {TargetId} from '../../identity/ids/index.js';
import type {Member} from '../../membership/member/index.js';
import type {DatagramTransport} from '../../peers/datagram-channel/index.js';
import type {RolloutNotice} from '../rollout-controller/index.js';

/** Message type of the datagrams. */
export const noticeMessageType = 'rollout';
/** Time for which notices are collected into one batch. */
const batchDelayMs = 20;
/** Limit that lets a datagram fit into one network packet. */
const maximumNoticesPerDatagram = 30;

/** Options of `RolloutNotices`. */
export type RolloutNoticesOptions = {
	readonly clock: Clock;
	readonly fleet: TargetFleet;
	readonly channel: DatagramTransport;
	/** Live instances other than this one. */
	readonly listPeers: () => readonly Member[];
};

/** Engine, remaining time of its cordon in milliseconds, and its current weights version. */
type NoticeEntry = readonly [target: TargetId, cordonMs: number, version: number];
type NoticeMessage = {readonly model: string; readonly notices: readonly NoticeEntry[]};

/** Sends notices to other instances and applies received ones. */
export class RolloutNotices {
	/** Notices to be sent, by model; only the latest one of each engine. */
	private pending = new Map<string, Map<TargetId, NoticeEntry>>();

	constructor(private readonly options: RolloutNoticesOptions) {
		options.channel.register(noticeMessageType, body => {
			this.apply(body as NoticeMessage);
		});
	}

	/** Sends a notice to all other live instances. Lost notices only cost extra attempts, since a loading engine refuses calls. */
	announce({target, cordonMs, model, version}: RolloutNotice): void {
		if (this.pending.size === 0) {
			void this.sendBatchAfterDelay();
		}

		const notices = this.pending.get(model) ?? new Map<TargetId, NoticeEntry>();
		notices.set(target, [target, cordonMs, version]);
		this.pending.set(model, notices);
	}

	private async sendBatchAfterDelay(): Promise<void> {
		await this.options.clock.sleep(batchDelayMs);
		const {pending} = this;
		this.pending = new Map();
		const addresses = this.options.listPeers().map(peer => peer.peerAddress);
		for (const [model, noticesByTarget] of pending) {
			const notices = [...noticesByTarget.values()];
			for (let offset = 0; offset < notices.length; offset += maximumNoticesPerDatagram) {
				const message: NoticeMessage = {model, notices: notices.slice(offset, offset + maximumNoticesPerDatagram)};
				this.options.channel.send(addresses, noticeMessageType, message);
			}
		}
	}

	private apply({model, notices}: NoticeMessage): void {
		const {clock, fleet} = this.options;
		const now = clock.readMonotonic();
		for (const [id, cordonMs, version] of notices) {
			const target = fleet.locate(id);
			if (target !== undefined) {
				target.cordonedUntil = now + cordonMs;
				target.recordVersion(model, version);
			}
		}

		fleet.notify();
	}
}
