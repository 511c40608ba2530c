/**
 * Tells apart instances that are slow with a call from those that answer nothing, such as a process that stands still while the
 * kernel accepts its connections. Any byte counts as a sign of life; without one for a while, the instance is asked for one.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {Destination, TargetClient} from '../../forwarding/target-client/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';

/** Time without a byte after which an instance is asked, in milliseconds. */
const askAfterMs = 250;

/** An instance and its listener for other instances. */
export type ProbedPeer = {readonly id: InstanceId; readonly destination: Destination};

/** When instances last sent anything. */
export class PeerProbe {
	private readonly lastHeardAt = new Map<InstanceId, MonotonicMs>();
	private readonly asked = new Set<InstanceId>();

	constructor(private readonly clock: Clock, private readonly client: TargetClient) {}

	/** Records that bytes came from an instance. */
	recordHeard(id: InstanceId): void {
		this.lastHeardAt.set(id, this.clock.readMonotonic());
	}

	/** Returns when an instance last sent anything since `since`, when a call was sent to it; asks it if that is some time ago. */
	check({id, destination}: ProbedPeer, since: MonotonicMs, now: MonotonicMs): MonotonicMs {
		const lastHeardAt = Math.max(since, this.lastHeardAt.get(id) ?? since) as MonotonicMs;
		if (now - lastHeardAt >= askAfterMs && !this.asked.has(id)) {
			this.ask({id, destination});
		}

		return lastHeardAt;
	}

	/** Sends a request of no effect. Whatever the answer is, it shows that the process runs. */
	private ask({id, destination}: ProbedPeer): void {
		this.asked.add(id);
		const timer = setTimeout(() => {
			exchange.abort();
			this.asked.delete(id);
		}, askAfterMs);
		const finish = (hasAnswered: boolean) => {
			clearTimeout(timer);
			this.asked.delete(id);
			if (hasAnswered) {
				this.recordHeard(id);
			}
		};

		const exchange = this.client.start(destination, {
			method: 'GET', path: '/', headers: ['Host', destination.description.address], body: undefined, shouldUseNewConnection: true,
		}, {
			onHead() {
				exchange.abort();
				finish(true);
			},
			onChunk() {
				// The head ends the exchange.
			},
			onEnd() {
				finish(true);
			},
			onFailure() {
				finish(false);
			},
		});
	}
}
