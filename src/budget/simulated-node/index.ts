/** One instance of a simulated fleet: it can pause, crash, and lose calls to the store. */

import type {Stream} from 'most';
import type {Clock} from '../../clock/clock/index.js';
import type {
	DataCentreId, FleetId, Incarnation, InstanceId, MonotonicMs, ResourceVersion, Revision, WallMs,
} from '../../identity/ids/index.js';
import type {Member} from '../../membership/member/index.js';
import type {PeerMethodHandler} from '../../peers/peer-caller/index.js';
import {
	ObjectApiError, type ObjectApi, type ObjectList, type StoredObject, type WatchEvent,
} from '../../store/object-api/index.js';
import type {BudgetGate} from '../budget-gate/index.js';
import type {Random} from '../create-random/index.js';

/** Chances of faults, from 0 to 1, and delays. */
export type SimulatedFaults = {
	/** A message, or its answer, is lost. */
	lostMessage: number;
	/** A message is delivered a second time, late. */
	repeatedMessage: number;
	/** A message or an answer is late by up to `lateMs`. */
	lateMessage: number;
	lateMs: number;
	/** A store call fails without effect. */
	failedStoreCall: number;
	/** A write takes effect at once or late, or never, and its answer is lost. */
	lostStoreAnswer: number;
};

/** An instance in one life. */
export class SimulatedNode {
	state: 'live' | 'paused' | 'crashed' = 'live';
	/** When the node was last live; others see it as live a little longer. */
	lastLiveAt = 0;
	isStoreReachable = true;
	/** Nodes that this one does not see as live, though they may be. */
	readonly unseen = new Set<InstanceId>();
	readonly handlers = new Map<string, PeerMethodHandler>();
	gate: BudgetGate | undefined;
	private resumed: Promise<void> = Promise.resolve();
	private wakeTasks: (() => void) | undefined;

	constructor(readonly id: InstanceId, readonly incarnation: Incarnation, readonly dataCentre: DataCentreId) {}

	/** Resolves at once on a live node, after its pause on a paused one, never on a crashed one. */
	async waitUntilLive(): Promise<void> {
		while (this.state !== 'live') {
			await this.resumed;
		}
	}

	setState(state: 'live' | 'paused' | 'crashed'): void {
		if (this.state === 'crashed' || this.state === state) {
			return;
		}

		this.state = state;
		if (state === 'live') {
			this.wakeTasks?.();
			return;
		}

		this.resumed = new Promise(resolve => {
			this.wakeTasks = resolve;
		});
	}

	describe(address: string): Member {
		return {
			id: this.id, incarnation: this.incarnation, fleet: 'main' as FleetId, region: 'here', dataCentre: this.dataCentre,
			peerAddress: address, callerAddress: address, state: 'live', revision: 1 as Revision,
		};
	}
}

/** Clock of a node: its own offset, and no task of a paused or crashed node goes on. */
export class SimulatedClock implements Clock {
	constructor(private readonly clock: Clock, private readonly node: SimulatedNode, private readonly offsetMs: number) {}

	readMonotonic(): MonotonicMs {
		return this.clock.readMonotonic() + this.offsetMs as MonotonicMs;
	}

	readWall(): WallMs {
		return this.clock.readWall();
	}

	async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		await this.clock.sleep(ms, signal);
		await this.node.waitUntilLive();
	}
}

const storeDelayMs = 3;
const lateWriteMs = 8000;

/** Object API as a node reaches it. */
export class SimulatedStore implements ObjectApi {
	constructor(
		private readonly store: ObjectApi,
		private readonly clock: Clock,
		private readonly node: SimulatedNode,
		private readonly faults: SimulatedFaults,
		private readonly random: Random,
	) {}

	async get<Value>(collection: string, name: string): Promise<StoredObject<Value>> {
		return this.callStore(async () => this.store.get<Value>(collection, name));
	}

	async list<Value>(collection: string): Promise<ObjectList<Value>> {
		return this.callStore(async () => this.store.list<Value>(collection));
	}

	async create<Value>(collection: string, name: string, value: Value): Promise<StoredObject<Value>> {
		return this.writeStore(async () => this.store.create(collection, name, value));
	}

	async update<Value>(collection: string, name: string, value: Value, expected: ResourceVersion): Promise<StoredObject<Value>> {
		return this.writeStore(async () => this.store.update(collection, name, value, expected));
	}

	async remove(collection: string, name: string, expected?: ResourceVersion): Promise<void> {
		await this.writeStore(async () => this.store.remove(collection, name, expected));
	}

	watch<Value>(collection: string, from: ResourceVersion): Stream<WatchEvent<Value>> {
		return this.store.watch<Value>(collection, from);
	}

	private async callStore<Result>(call: () => Promise<Result>): Promise<Result> {
		await this.clock.sleep(storeDelayMs);
		await this.node.waitUntilLive();
		if (!this.node.isStoreReachable || this.random() < this.faults.failedStoreCall) {
			throw new ObjectApiError('unavailable', 'the object API cannot be reached');
		}

		const result = await call();
		await this.clock.sleep(storeDelayMs);
		await this.node.waitUntilLive();
		return result;
	}

	private async writeStore<Result>(write: () => Promise<Result>): Promise<Result> {
		if (this.random() >= this.faults.lostStoreAnswer) {
			return this.callStore(write);
		}

		return this.callStore(async () => {
			void this.writeLate(write);
			throw new ObjectApiError('unknownOutcome', 'the answer was lost');
		});
	}

	private async writeLate(write: () => Promise<unknown>): Promise<void> {
		const fate = this.random();
		try {
			if (fate < 1 / 3) {
				await write();
			} else if (fate < 2 / 3) {
				await this.clock.sleep(this.random() * lateWriteMs);
				await write();
			}
		} catch {
			// The writer learns nothing of a conflict.
		}
	}
}
