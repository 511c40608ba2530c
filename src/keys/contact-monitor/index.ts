/**
 * Detects that this instance can no longer learn of withdrawn keys. Withdrawals arrive from the object API or from
 * peers, so an instance is isolated when it has lost contact with both. An instance that has never had contact with
 * a peer is not considered isolated and keeps serving.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';

/** Time without contact with the object API and all peers after which requests with a key are refused. */
export const isolationTimeoutMs = 5000;

/** Tracks the last contact with the object API and with any peer. */
export class ContactMonitor {
	private lastStoreContactAt: MonotonicMs | undefined;
	private lastPeerContactAt: MonotonicMs | undefined;

	/** `readLastHeartbeatAt` returns the time of the last heartbeat from a peer, or undefined if there was none. */
	constructor(private readonly readLastHeartbeatAt: () => MonotonicMs | undefined = () => undefined) {}

	recordStoreContact(now: MonotonicMs): void {
		this.lastStoreContactAt = now;
	}

	recordPeerContact(now: MonotonicMs): void {
		this.lastPeerContactAt = now;
	}

	/** Returns the time of the last contact with a peer, or undefined if there was none. */
	readLastPeerContact(): MonotonicMs | undefined {
		return pickLater(this.lastPeerContactAt, this.readLastHeartbeatAt());
	}

	/** Whether requests with a key must be refused at `now`. */
	isIsolated(now: MonotonicMs): boolean {
		const peerContactAt = this.readLastPeerContact();
		const lastContactAt = pickLater(this.lastStoreContactAt, peerContactAt);
		return peerContactAt !== undefined && lastContactAt !== undefined && now - lastContactAt > isolationTimeoutMs;
	}
}

function pickLater(a: MonotonicMs | undefined, b: MonotonicMs | undefined): MonotonicMs | undefined {
	return a === undefined || (b !== undefined && b > a) ? b : a;
}
