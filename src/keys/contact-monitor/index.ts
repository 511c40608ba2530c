/**
 * Tells when this instance can no longer learn that a key was withdrawn. Withdrawals arrive from
 * the object API or from peers, so that silence of both counts; one that has never known a peer
 * has nobody to miss and keeps serving.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';

/** Silence of the object API and of all peers after which keyed requests are refused, in milliseconds. */
export const isolationMs = 5000;

/** When this instance last heard the object API and any peer. */
export class ContactMonitor {
	private storeHeardAt: MonotonicMs | undefined;
	private peerHeardAt: MonotonicMs | undefined;

	/** `readLastHeard` tells when membership last heard a peer, if ever. */
	constructor(private readonly readLastHeard: () => MonotonicMs | undefined = () => undefined) {}

	noteStore(now: MonotonicMs): void {
		this.storeHeardAt = now;
	}

	notePeer(now: MonotonicMs): void {
		this.peerHeardAt = now;
	}

	/** Returns when a peer was last heard, or undefined when none ever was. */
	readPeerHeard(): MonotonicMs | undefined {
		return pickLater(this.peerHeardAt, this.readLastHeard());
	}

	/** Whether keyed requests must be refused at `now`. */
	isIsolated(now: MonotonicMs): boolean {
		const peerHeardAt = this.readPeerHeard();
		const heardAt = pickLater(this.storeHeardAt, peerHeardAt);
		return peerHeardAt !== undefined && heardAt !== undefined && now - heardAt > isolationMs;
	}
}

function pickLater(a: MonotonicMs | undefined, b: MonotonicMs | undefined): MonotonicMs | undefined {
	return a === undefined || (b !== undefined && b > a) ? b : a;
}
