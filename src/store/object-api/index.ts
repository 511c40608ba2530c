/**
 * The platform's object API as the router sees it: named collections of JSON objects with
 * versions, conditional updates and watches.
 */

import type {Stream} from 'most';
import type {ResourceVersion} from '../../identity/ids/index.js';

/** One stored object. */
export type StoredObject<Value = unknown> = {
	readonly collection: string;
	readonly name: string;
	readonly resourceVersion: ResourceVersion;
	readonly value: Value;
};

/** One change seen by a watch. A `bookmark` only states that the watch is alive and how far it is. */
export type WatchEvent<Value = unknown>
	= | {readonly type: 'added' | 'modified' | 'deleted'; readonly object: StoredObject<Value>}
		| {readonly type: 'bookmark'; readonly resourceVersion: ResourceVersion};

/** A collection's objects and the version that a watch may continue from. */
export type ObjectList<Value = unknown> = {
	readonly items: ReadonlyArray<StoredObject<Value>>;
	readonly resourceVersion: ResourceVersion;
};

/** Why a call failed. After `unknownOutcome` a write may or may not have taken effect. */
export type ObjectApiFailure = 'conflict' | 'notFound' | 'unavailable' | 'unknownOutcome' | 'rateLimited' | 'tooLarge' | 'expired';

/** A failed call of the object API. */
export class ObjectApiError extends Error {
	readonly failure: ObjectApiFailure;

	constructor(failure: ObjectApiFailure, message: string, options?: {cause?: unknown}) {
		super(message, options);
		this.name = 'ObjectApiError';
		this.failure = failure;
	}
}

/** Client of the object API. Each method rejects with `ObjectApiError`. */
export type ObjectApi = {
	get<Value>(collection: string, name: string): Promise<StoredObject<Value>>;
	list<Value>(collection: string): Promise<ObjectList<Value>>;
	/** Creates an object; `conflict` when the name exists. */
	create<Value>(collection: string, name: string, value: Value): Promise<StoredObject<Value>>;
	/** Replaces an object; `conflict` when its version is no longer `expected`. */
	update<Value>(collection: string, name: string, value: Value, expected: ResourceVersion): Promise<StoredObject<Value>>;
	/** Deletes an object; with `expected`, only at that version. */
	remove(collection: string, name: string, expected?: ResourceVersion): Promise<void>;
	/**
	 * Changes after `from`. The stream fails with `expired` when `from` is too old and with
	 * `unavailable` when the connection breaks or has been silent for too long.
	 */
	watch<Value>(collection: string, from: ResourceVersion): Stream<WatchEvent<Value>>;
};
