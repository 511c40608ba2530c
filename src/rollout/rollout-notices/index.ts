/** Spreads what a rollout does to engines, so that no instance sends calls to one that is about to load. */

import type {Clock} from '../../clock/clock/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {TargetId} from '../../identity/ids/index.js';
import type {Member} from '../../membership/member/index.js';
import type {DatagramSender} from '../../peers/datagram-channel/index.js';
import type {RolloutNotice} from '../rollout-controller/index.js';

/** Type of the datagrams. */
export const noticeMessageType = 'rollout';
/** Time for which notices are gathered into one message, in milliseconds. */
const gatherMs = 20;
/** Notices in one datagram, so that it fits into one packet. */
const maximumNotices = 30;

/** What the notices need. */
export type RolloutNoticesOptions = {
	readonly clock: Clock;
	readonly fleet: TargetFleet;
	readonly channel: DatagramSender;
	/** Live instances other than this one. */
	readonly listPeers: () => readonly Member[];
};

/** Engine, time for which new calls stay away in milliseconds, and its weights version. */
type NoticeEntry = readonly [target: TargetId, cordonMs: number, version: number];
type NoticeMessage = {readonly model: string; readonly notices: readonly NoticeEntry[]};

/** Sends and applies notices. */
export class RolloutNotices {
	/** Notices that wait to be sent, the latest one for each engine, by model. */
	private waiting = new Map<string, Map<TargetId, NoticeEntry>>();

	constructor(private readonly options: RolloutNoticesOptions) {
		options.channel.register(noticeMessageType, body => {
			this.apply(body as NoticeMessage);
		});
	}

	/** Tells all live instances. An engine that changes refuses calls by itself; a lost notice only costs attempts. */
	announce({target, cordonMs, model, version}: RolloutNotice): void {
		if (this.waiting.size === 0) {
			void this.sendLater();
		}

		const notices = this.waiting.get(model) ?? new Map<TargetId, NoticeEntry>();
		notices.set(target, [target, cordonMs, version]);
		this.waiting.set(model, notices);
	}

	private async sendLater(): Promise<void> {
		await this.options.clock.sleep(gatherMs);
		const {waiting} = this;
		this.waiting = new Map();
		const addresses = this.options.listPeers().map(peer => peer.peerAddress);
		for (const [model, byTarget] of waiting) {
			const notices = [...byTarget.values()];
			for (let first = 0; first < notices.length; first += maximumNotices) {
				const message: NoticeMessage = {model, notices: notices.slice(first, first + maximumNotices)};
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
				target.noteVersion(model, version);
			}
		}

		fleet.notify();
	}
}
