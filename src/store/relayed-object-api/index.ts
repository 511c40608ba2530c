/**
 * Relays single calls of the object API through a peer while the object API does not serve this instance itself. A call that
 * fails on one of the two ways is repeated on the other one, which is then used first for a while.
 * A write with an unknown outcome is also repeated. Since each write is conditional, the second one fails
 * with a conflict if the first took effect, and the caller then reads back the stored object.
 */

import {
	ObjectApiError, type ObjectApi, type ObjectApiFailure, type StoredObject,
} from '../object-api/index.js';
import type {Clock} from '../../clock/clock/index.js';
import type {InstanceId, ResourceVersion} from '../../identity/ids/index.js';
import type {PeerCaller, PeerMethodRegistry} from '../../peers/peer-caller/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import {parseVersion} from '../object-version/index.js';

/** JSON-RPC method of relayed calls. */
export const relayMethod = 'objectApi.relay';
const relayTimeoutMs = 700;
/** Time after a failed direct call during which calls go to a peer first, in milliseconds. */
const relayDurationMs = 3000;
/** Failures that indicate that the object API does not serve this instance at present. */
const relayedFailures: ReadonlySet<ObjectApiFailure> = new Set(['unavailable', 'rateLimited', 'unknownOutcome']);

/** The calls that can be relayed. */
export type RelayableObjectApi = Pick<ObjectApi, 'get' | 'create' | 'update' | 'readEra'>;

type RelayedCall
	= | {readonly type: 'get'; readonly collection: string; readonly name: string}
		| {readonly type: 'create'; readonly collection: string; readonly name: string; readonly value: unknown}
		| {readonly type: 'update'; readonly collection: string; readonly name: string; readonly value: unknown; readonly expected: ResourceVersion};

/** Answer of a peer. `era` is the latest that the peer has heard of; peers of earlier releases don't state it. */
type RelayedResult
	= | {readonly object: StoredObject}
		| {readonly failure: ObjectApiFailure; readonly message: string; readonly era?: number};

/** Options of `RelayedObjectApi`. */
export type RelayedObjectApiOptions = {
	readonly objectApi: RelayableObjectApi;
	readonly caller: PeerCaller;
	readonly registry: PeerMethodRegistry;
	readonly random: RandomSource;
	readonly listPeers: () => readonly InstanceId[];
	readonly clock: Clock;
};

/** Object API client that falls back to relaying calls through a peer. */
export class RelayedObjectApi implements RelayableObjectApi {
	private relayUntil = 0;
	/** Latest era in an answer that a peer has relayed. */
	private relayedEra = 0;

	constructor(private readonly options: RelayedObjectApiOptions) {
		options.registry.register(relayMethod, async parameters => this.handleRelayedCall(parameters as RelayedCall));
	}

	async get<Value>(collection: string, name: string): Promise<StoredObject<Value>> {
		return this.call<Value>({type: 'get', collection, name});
	}

	/** Returns the latest era seen in an answer, whether it came directly or through a peer. */
	readEra(): number {
		return Math.max(this.options.objectApi.readEra(), this.relayedEra);
	}

	async create<Value>(collection: string, name: string, value: Value): Promise<StoredObject<Value>> {
		return this.call<Value>({
			type: 'create', collection, name, value,
		});
	}

	async update<Value>(collection: string, name: string, value: Value, expected: ResourceVersion): Promise<StoredObject<Value>> {
		return this.call<Value>({
			type: 'update', collection, name, value, expected,
		});
	}

	private async call<Value>(call: RelayedCall): Promise<StoredObject<Value>> {
		const {clock, random, listPeers} = this.options;
		const peer = random.pickSome(listPeers(), 1)[0];
		const callDirectly = async () => this.callDirectly(call);
		if (peer === undefined) {
			return await callDirectly() as StoredObject<Value>;
		}

		const callPeer = async () => this.callPeer(peer, call);
		const isPeerFirst = clock.readMonotonic() < this.relayUntil;
		const [callFirst, callSecond] = isPeerFirst ? [callPeer, callDirectly] : [callDirectly, callPeer];
		try {
			return await callFirst() as StoredObject<Value>;
		} catch (error) {
			// An object API that limits the rate of two instances gets no third call.
			if (!isRelayedFailure(error) || (isPeerFirst && error.failure === 'rateLimited')) {
				throw error;
			}

			this.relayUntil = isPeerFirst ? 0 : clock.readMonotonic() + relayDurationMs;
			return await retryCall(callSecond, error) as StoredObject<Value>;
		}
	}

	private async callPeer(peer: InstanceId, call: RelayedCall): Promise<StoredObject> {
		let result: RelayedResult;
		try {
			result = await this.options.caller.call<RelayedResult>(peer, relayMethod, call, relayTimeoutMs);
		} catch (error) {
			throw new ObjectApiError(call.type === 'get' ? 'unavailable' : 'unknownOutcome', `relaying the call through ${peer} failed`, {cause: error});
		}

		if ('failure' in result) {
			this.recordFailureEra(peer, result);
			throw new ObjectApiError(result.failure, `${result.message} (relayed by ${peer})`);
		}

		this.recordEra(parseVersion(result.object.resourceVersion).era);
		return result.object;
	}

	/** Records the era of a failure. That an object is missing means nothing without the era in which it is. */
	private recordFailureEra(peer: InstanceId, {failure, era}: {readonly failure: ObjectApiFailure; readonly era?: number}): void {
		if (era !== undefined) {
			this.recordEra(era);
		} else if (failure === 'notFound') {
			throw new ObjectApiError('unavailable', `${peer} doesn't state the era in which the object is missing`);
		}
	}

	private recordEra(era: number): void {
		this.relayedEra = Math.max(this.relayedEra, era);
	}

	private async handleRelayedCall(call: RelayedCall): Promise<RelayedResult> {
		try {
			return {object: await this.callDirectly(call)};
		} catch (error) {
			if (error instanceof ObjectApiError) {
				return {failure: error.failure, message: error.message, era: this.readEra()};
			}

			throw error;
		}
	}

	private async callDirectly(call: RelayedCall): Promise<StoredObject> {
		const {objectApi} = this.options;
		switch (call.type) {
			case 'get': {
				return objectApi.get(call.collection, call.name);
			}

			case 'create': {
				return objectApi.create(call.collection, call.name, call.value);
			}

			case 'update': {
				return objectApi.update(call.collection, call.name, call.value, call.expected);
			}
		}
	}
}

/** Whether a call failed in a way that another one may not. */
function isRelayedFailure(error: unknown): error is ObjectApiError {
	return error instanceof ObjectApiError && relayedFailures.has(error.failure);
}

/** Repeats a call after `firstError`. Where the second attempt does not settle whether the first took effect, the outcome is unknown. */
async function retryCall(call: () => Promise<StoredObject>, firstError: ObjectApiError): Promise<StoredObject> {
	try {
		return await call();
	} catch (error) {
		if (firstError.failure === 'unknownOutcome' && isRelayedFailure(error)) {
			throw new ObjectApiError('unknownOutcome', `${firstError.message}; repeated: ${error.message}`, {cause: error});
		}

		throw error;
	}
}
