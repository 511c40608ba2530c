/**
 * Tells apart instances that are slow with a call from those that answer nothing, such as a process that stands still while the
 * kernel accepts its connections. Any byte counts as a sign of life; without one for a while, the instance is asked for one.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {Destination, TargetClient} from '../../forwarding/target-client/index.js';
import {waitForArrivedData} from '../../http/wait-for-arrived-data/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';

/** Time without a byte after which an instance is asked, in milliseconds. */
const askAfterMs = 250;
/** Time that an instance has for its sign of life, in milliseconds. */
const answerTimeMs = 250;
/** A timer that is later than this shows that this process stood still itself, in milliseconds. */
const standstillMs = 100;

/** An instance and its listener for other instances. */
export type ProbedPeer = {readonly id: InstanceId; readonly destination: Destination};

/** When instances last sent anything. */
export class PeerProbe {
	private readonly lastHeardAt = new Map<InstanceId, MonotonicMs>();
	private readonly asked = new Set<InstanceId>();
	/** When the last question that an instance left unanswered was sent. */
	private readonly unansweredAt = new Map<InstanceId, MonotonicMs>();

	constructor(private readonly clock: Clock, private readonly client: TargetClient) {}

	/** Records that bytes came from an instance. */
	recordHeard(id: InstanceId): void {
		this.lastHeardAt.set(id, this.clock.readMonotonic());
	}

	/**
	 * Returns since when an instance has been silent, at the earliest since `since`, when a call was sent to it; asks it if that is
	 * some time ago. Without an unanswered question, a longer silence may be due to this process, which has read nothing.
	 */
	check(peer: ProbedPeer, since: MonotonicMs, now: MonotonicMs): MonotonicMs {
		const {id} = peer;
		const lastHeardAt = Math.max(since, this.lastHeardAt.get(id) ?? since) as MonotonicMs;
		if (now - lastHeardAt < askAfterMs) {
			return lastHeardAt;
		}

		if (!this.asked.has(id)) {
			this.ask(peer);
		}

		const isUnanswered = (this.unansweredAt.get(id) ?? -Infinity) >= lastHeardAt;
		return isUnanswered ? lastHeardAt : now - askAfterMs as MonotonicMs;
	}

	/** Sends a request of no effect. Whatever the answer is, it shows that the process runs. */
	private ask({id, destination}: ProbedPeer): void {
		this.asked.add(id);
		const askedAt = this.clock.readMonotonic();
		const finish = (hasAnswered: boolean) => {
			stopWaiting();
			this.asked.delete(id);
			if (hasAnswered) {
				this.recordHeard(id);
			} else {
				this.unansweredAt.set(id, askedAt);
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
		const stopWaiting = this.waitForAnswer(() => {
			exchange.abort();
			finish(false);
		});
	}

	/** Calls `onTimeout` when the time for an answer is over, unless this process stood still within it. Returns what ends the wait. */
	private waitForAnswer(onTimeout: () => void): () => void {
		let isOver = false;
		let timer: NodeJS.Timeout;
		const handleTimer = async (startedAt: MonotonicMs) => {
			const isLate = this.clock.readMonotonic() - startedAt > answerTimeMs + standstillMs;
			await waitForArrivedData();
			if (isLate && !isOver) {
				wait();
			} else if (!isOver) {
				onTimeout();
			}
		};

		const wait = () => {
			const startedAt = this.clock.readMonotonic();
			timer = setTimeout(() => {
				void handleTimer(startedAt);
			}, answerTimeMs);
		};

		wait();
		return () => {
			isOver = true;
			clearTimeout(timer);
		};
	}
}
