/**
 * Bounds the number of large answers that an instance sends at a time, so that each gets a fair part of its link. A receiver
 * confirms a large answer; it can then pass it on, and others are referred to it.
 */

import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';

/** Limit of the large answers under way. */
const maximumTransfers = 4;
/** Time after which an answer that was not confirmed no longer counts as under way, in milliseconds; its receiver may have been lost. */
const transferTimeoutMs = 1000;
/** Limit of the instances named to one that is referred to others. */
const maximumReferrals = 8;

/** Large answers of one instance, and who has confirmed them. */
export class TransferLimit {
	private readonly startedAt = new Map<InstanceId, MonotonicMs>();
	private receivers: InstanceId[] = [];
	private version = '';

	/** Begins a large answer, unless as many as allowed are under way. `version` names what is sent. */
	tryBegin(receiver: InstanceId, version: string, now: MonotonicMs): boolean {
		if (version !== this.version) {
			this.version = version;
			this.receivers = [];
		}

		for (const [other, startedAt] of this.startedAt) {
			if (now - startedAt >= transferTimeoutMs) {
				this.startedAt.delete(other);
			}
		}

		if (!this.startedAt.has(receiver) && this.startedAt.size >= maximumTransfers) {
			return false;
		}

		this.startedAt.set(receiver, now);
		return true;
	}

	/** Records that an instance needs no large answer at present: one under way to it has arrived. */
	recordReceived(receiver: InstanceId): void {
		if (this.startedAt.delete(receiver)) {
			this.receivers.push(receiver);
		}
	}

	/** Lists instances that have confirmed the present version, the latest first. */
	listReceivers(): readonly InstanceId[] {
		return this.receivers.slice(-maximumReferrals).toReversed();
	}
}
