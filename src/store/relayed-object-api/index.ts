/**
 * Single calls of the object API by way of another instance, for one that the object API does not serve
 * itself. A write whose outcome is not known is repeated as well: each is conditional, so that the second
 * one fails with a conflict if the first took effect, and the caller reads back what is stored.
 */

import {
	ObjectApiError, type ObjectApi, type ObjectApiFailure, type StoredObject,
} from '../object-api/index.js';
import type {Clock} from '../../clock/clock/index.js';
import type {InstanceId, ResourceVersion} from '../../identity/ids/index.js';
import type {PeerCaller, PeerMethodRegistry} from '../../peers/peer-caller/index.js';
import type {RandomSource} from '../../random/random-source/index.js';

/** JSON-RPC method of relayed calls. */
export const relayMethod = 'objectApi.relay';
const relayTimeoutMs = 700;
/** Time after a failed call for which calls go to peers first, in milliseconds. */
const detourMs = 3000;
/** Failures that show that the object API does not serve this instance now. */
const relayedFailures: ReadonlySet<ObjectApiFailure> = new Set(['unavailable', 'rateLimited', 'unknownOutcome']);

/** The calls that can be relayed. */
export type RelayableObjectApi = Pick<ObjectApi, 'get' | 'create' | 'update'>;

type RelayedCall
	= | {readonly type: 'get'; readonly collection: string; readonly name: string}
		| {readonly type: 'create'; readonly collection: string; readonly name: string; readonly value: unknown}
		| {readonly type: 'update'; readonly collection: string; readonly name: string; readonly value: unknown; readonly expected: ResourceVersion};

type RelayedAnswer = {readonly object: StoredObject} | {readonly failure: ObjectApiFailure; readonly message: string};

/** What the relay needs. */
export type RelayedObjectApiOptions = {
	readonly objectApi: RelayableObjectApi;
	readonly caller: PeerCaller;
	readonly registry: PeerMethodRegistry;
	readonly random: RandomSource;
	readonly listPeers: () => readonly InstanceId[];
	readonly clock: Clock;
};

/** Object API that falls back to a peer's. */
export class RelayedObjectApi implements RelayableObjectApi {
	private detourUntil = 0;

	constructor(private readonly options: RelayedObjectApiOptions) {
		options.registry.register(relayMethod, async parameters => this.answer(parameters as RelayedCall));
	}

	async get<Value>(collection: string, name: string): Promise<StoredObject<Value>> {
		return this.call<Value>({type: 'get', collection, name});
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
		if (peer !== undefined && clock.readMonotonic() < this.detourUntil) {
			return this.callPeer(peer, call);
		}

		try {
			return await this.perform(call) as StoredObject<Value>;
		} catch (error) {
			if (peer === undefined || !(error instanceof ObjectApiError) || !relayedFailures.has(error.failure)) {
				throw error;
			}

			this.detourUntil = clock.readMonotonic() + detourMs;
			return this.callPeer(peer, call);
		}
	}

	private async callPeer<Value>(peer: InstanceId, call: RelayedCall): Promise<StoredObject<Value>> {
		let answer: RelayedAnswer;
		try {
			answer = await this.options.caller.call<RelayedAnswer>(peer, relayMethod, call, relayTimeoutMs);
		} catch (error) {
			throw new ObjectApiError(call.type === 'get' ? 'unavailable' : 'unknownOutcome', `relay by ${peer} failed`, {cause: error});
		}

		if ('failure' in answer) {
			throw new ObjectApiError(answer.failure, `${answer.message} (relayed by ${peer})`);
		}

		return answer.object as StoredObject<Value>;
	}

	private async answer(call: RelayedCall): Promise<RelayedAnswer> {
		try {
			return {object: await this.perform(call)};
		} catch (error) {
			if (error instanceof ObjectApiError) {
				return {failure: error.failure, message: error.message};
			}

			throw error;
		}
	}

	private async perform(call: RelayedCall): Promise<StoredObject> {
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
