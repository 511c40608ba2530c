/** Simulated instance that can pause, crash and lose calls to the store. */

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

/** Probabilities of faults, from 0 to 1, and the maximum delay of late messages. */
export type SimulatedFaults = {
	/** A message, or its answer, is lost. */
	lostMessage: number;
	/** A message is delivered a second time, up to `lateMs` later. */
	repeatedMessage: number;
	/** A message or its answer is delayed by up to `lateMs`. */
	lateMessage: number;
	lateMs: number;
	/** A store call fails without effect. */
	failedStoreCall: number;
	/** The answer to a write is lost; the write takes effect at once, late or never. */
	lostStoreAnswer: number;
};

/** One incarnation of an instance. */
export class SimulatedNode {
	state: 'live' | 'paused' | 'crashed' = 'live';
	/** When the node was last live. Other nodes see it as live until a timeout after that. */
	lastLiveAt = 0;
	isStoreReachable = true;
	/** Nodes that this one sees as dead, whether they are live or not. */
	readonly hiddenNodes = new Set<InstanceId>();
	readonly handlers = new Map<string, PeerMethodHandler>();
	gate: BudgetGate | undefined;
	private resumePromise: Promise<void> = Promise.resolve();
	private resolveResumePromise: (() => void) | undefined;

	constructor(readonly id: InstanceId, readonly incarnation: Incarnation, readonly dataCentre: DataCentreId) {}

	/** Resolves at once if the node is live, when it resumes if it is paused, and never if it crashed. */
	async waitUntilLive(): Promise<void> {
		while (this.state !== 'live') {
			await this.resumePromise;
		}
	}

	setState(state: 'live' | 'paused' | 'crashed'): void {
		if (this.state === 'crashed' || this.state === state) {
			return;
		}

		this.state = state;
		if (state === 'live') {
			this.resolveResumePromise?.();
			return;
		}

		this.resumePromise = new Promise(resolve => {
			this.resolveResumePromise = resolve;
		});
	}

	describe(address: string): Member {
		return {
			id: this.id, incarnation: this.incarnation, fleet: 'main' as FleetId, region: 'here', dataCentre: this.dataCentre,
			peerAddress: address, callerAddress: address, state: 'live', revision: 1 as Revision,
		};
	}
}

/** Clock of a node, with its own offset. Sleeps of a paused node end after it resumes; those of a crashed node never end. */
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

/** Delay of a store call, and again of its answer. */
const storeLatencyMs = 3;
const maximumWriteDelayMs = 8000;

/** Object API of a node, with simulated latency and faults. */
export class SimulatedStore implements ObjectApi {
	constructor(
		private readonly store: ObjectApi,
		private readonly clock: Clock,
		private readonly node: SimulatedNode,
		private readonly faults: SimulatedFaults,
		private readonly random: Random,
	) {}

	readEra(): number {
		return this.store.readEra();
	}

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
		await this.clock.sleep(storeLatencyMs);
		await this.node.waitUntilLive();
		if (!this.node.isStoreReachable || this.random() < this.faults.failedStoreCall) {
			throw new ObjectApiError('unavailable', 'the object API cannot be reached');
		}

		const result = await call();
		await this.clock.sleep(storeLatencyMs);
		await this.node.waitUntilLive();
		return result;
	}

	private async writeStore<Result>(write: () => Promise<Result>): Promise<Result> {
		if (this.random() >= this.faults.lostStoreAnswer) {
			return this.callStore(write);
		}

		return this.callStore(async () => {
			void this.writeAfterLostAnswer(write);
			throw new ObjectApiError('unknownOutcome', 'the answer was lost');
		});
	}

	private async writeAfterLostAnswer(write: () => Promise<unknown>): Promise<void> {
		const outcomeSample = this.random();
		try {
			if (outcomeSample < 1 / 3) {
				await write();
			} else if (outcomeSample < 2 / 3) {
				await this.clock.sleep(this.random() * maximumWriteDelayMs);
				await write();
			}
		} catch {
			// The writer's answer was lost, so it does not learn of a conflict.
		}
	}
}
