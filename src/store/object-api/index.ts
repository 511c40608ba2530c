/**
 * The platform's object API as the router uses it: named collections of versioned JSON objects with
 * conditional updates and watches.
 */

import type {Stream} from 'most';
import type {ResourceVersion} from '../../identity/ids/index.js';

/** A stored object. */
export type StoredObject<Value = unknown> = {
	readonly collection: string;
	readonly name: string;
	readonly resourceVersion: ResourceVersion;
	readonly value: Value;
	/** What others than the owner of the value state about the object; only in collections whose objects have one. */
	readonly status?: unknown;
};

/**
 * An event of a watch. A `bookmark` carries no change. It only shows that the watch is
 * alive and which version it has reached. `ageMs` is the maximum time since the object API was at that version; 0 by default.
 */
export type WatchEvent<Value = unknown>
	= | {readonly type: 'added' | 'modified' | 'deleted'; readonly object: StoredObject<Value>}
		| {readonly type: 'bookmark'; readonly resourceVersion: ResourceVersion; readonly ageMs?: number};

/** The objects of a collection and the version from which a watch can continue. */
export type ObjectList<Value = unknown> = {
	readonly items: ReadonlyArray<StoredObject<Value>>;
	readonly resourceVersion: ResourceVersion;
	/** Maximum time since the object API was at this version, in milliseconds; 0 by default. */
	readonly ageMs?: number;
};

/** Why a call failed. After `unknownOutcome`, a write may or may not have taken effect. */
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
	/** Creates an object. Fails with `conflict` if the name already exists. */
	create<Value>(collection: string, name: string, value: Value): Promise<StoredObject<Value>>;
	/** Replaces an object. Fails with `conflict` if its version is not `expected`. */
	update<Value>(collection: string, name: string, value: Value, expected: ResourceVersion): Promise<StoredObject<Value>>;
	/** Deletes an object. If `expected` is given, fails with `conflict` at any other version. */
	remove(collection: string, name: string, expected?: ResourceVersion): Promise<void>;
	/**
	 * Streams the changes after version `from`. The stream fails with `expired` if `from` is too old, and with
	 * `unavailable` if the connection breaks or is silent for too long.
	 */
	watch<Value>(collection: string, from: ResourceVersion): Stream<WatchEvent<Value>>;
	/** Returns the latest era seen in an answer, which rises with each restore from a copy; 0 before the first. */
	readEra(): number;
};

/** Writes the statuses of objects. Rejects with `ObjectApiError`. */
export type StatusWriter = {
	/** Replaces the status of an object. Fails with `conflict` if the version of the object is not `expected`. */
	updateStatus(collection: string, name: string, status: unknown, expected: ResourceVersion): Promise<StoredObject>;
};
