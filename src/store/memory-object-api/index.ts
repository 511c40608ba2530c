/** In-memory object API with fault injection. It backs the stand-in server and serves as a fake in tests. */

import {type Stream} from 'most';
import type {ResourceVersion} from '../../identity/ids/index.js';
import {createStream} from '../../streams/create-stream/index.js';
import {formatVersion, parseVersion, type VersionParts} from '../object-version/index.js';
import {
	ObjectApiError, type ObjectApi, type ObjectList, type StatusWriter, type StoredObject, type WatchEvent,
} from '../object-api/index.js';

/** Maximum size of a value, in bytes of JSON. */
export const maximumValueBytes = 1_000_000;
/** Minimum number of changes retained for watches that continue from an older version. */
const minimumRetainedChanges = 10_000;

/** Faults that can be injected. */
export type ObjectApiFaults = {
	/** Whether all calls and new watches fail. */
	isDown: boolean;
	/** Number of upcoming writes that take effect although the caller gets `unknownOutcome`. */
	lostAnswers: number;
	/** Delay of each call, in milliseconds. */
	delayMs: number;
};

/** A copy from which the API can be restored. */
export type StoreCopy = {readonly version: number; readonly collections: ReadonlyMap<string, ReadonlyMap<string, StoredObject>>};

type Change = {readonly version: number; readonly event: WatchEvent & {readonly object: StoredObject}};
type Watcher = {readonly collection: string; readonly notify: (event: WatchEvent) => void; readonly fail: (error: Error) => void};

/** In-memory object API. */
export class MemoryObjectApi implements ObjectApi, StatusWriter {
	readonly faults: ObjectApiFaults = {isDown: false, lostAnswers: 0, delayMs: 0};
	/** Calls served so far, by kind. */
	readonly calls = {read: 0, write: 0, watch: 0};
	private version = 0;
	/** Number of times that the API was restored from a copy. */
	private era = 0;
	private readonly collections = new Map<string, Map<string, StoredObject>>();
	private changes: Change[] = [];
	private readonly watchers = new Set<Watcher>();

	async get<Value>(collection: string, name: string): Promise<StoredObject<Value>> {
		await this.beginCall('read');
		return this.findObject(collection, name) as StoredObject<Value>;
	}

	async list<Value>(collection: string): Promise<ObjectList<Value>> {
		await this.beginCall('read');
		const items = [...this.openCollection(collection).values()] as Array<StoredObject<Value>>;
		return {items, resourceVersion: this.formatVersion()};
	}

	async create<Value>(collection: string, name: string, value: Value): Promise<StoredObject<Value>> {
		await this.beginCall('write');
		if (this.openCollection(collection).has(name)) {
			throw new ObjectApiError('conflict', `${collection}/${name} exists`);
		}

		return this.completeWrite(this.storeObject('added', collection, name, value));
	}

	async update<Value>(collection: string, name: string, value: Value, expected: ResourceVersion): Promise<StoredObject<Value>> {
		await this.beginCall('write');
		this.checkVersion(collection, name, expected);
		return this.completeWrite(this.storeObject('modified', collection, name, value));
	}

	async updateStatus(collection: string, name: string, status: unknown, expected: ResourceVersion): Promise<StoredObject> {
		await this.beginCall('write');
		const {value} = this.checkVersion(collection, name, expected);
		return this.completeWrite(this.storeObject('modified', collection, name, value, status));
	}

	async remove(collection: string, name: string, expected?: ResourceVersion): Promise<void> {
		await this.beginCall('write');
		const object = this.checkVersion(collection, name, expected);
		this.openCollection(collection).delete(name);
		this.version += 1;
		this.publish({type: 'deleted', object: {...object, resourceVersion: this.formatVersion()}});
		this.completeWrite(undefined);
	}

	watch<Value>(collection: string, from: ResourceVersion): Stream<WatchEvent<Value>> {
		return createStream(subscriber => {
			this.calls.watch += 1;
			const watcher: Watcher = {
				collection,
				notify(event) {
					subscriber.next(event as WatchEvent<Value>);
				},
				fail(error) {
					subscriber.error(error);
				},
			};
			setImmediate(() => {
				this.startWatch(watcher, parseVersion(from));
			});
			return () => {
				this.watchers.delete(watcher);
			};
		});
	}

	/** Makes the API unavailable and breaks all watches, or makes it available again. */
	setDown(isDown: boolean): void {
		this.faults.isDown = isDown;
		if (isDown) {
			const watchers = [...this.watchers];
			this.watchers.clear();
			for (const watcher of watchers) {
				watcher.fail(new ObjectApiError('unavailable', 'the object API is down'));
			}
		}
	}

	/** Copies all objects and the version. */
	copy(): StoreCopy {
		return {version: this.version, collections: new Map([...this.collections].map(([name, objects]) => [name, new Map(objects)]))};
	}

	/** Breaks all watches and goes on from a copy: later changes are gone, and their versions are given out again. */
	restore({version, collections}: StoreCopy): void {
		this.setDown(true);
		this.faults.isDown = false;
		this.version = version;
		this.era += 1;
		this.changes = [];
		this.collections.clear();
		for (const [name, objects] of collections) {
			const restored = [...objects].map(([key, object]) => [key, {...object, resourceVersion: this.moveToEra(object.resourceVersion)}] as const);
			this.collections.set(name, new Map(restored));
		}
	}

	/** Sends a bookmark to every watch, as the platform does each second. */
	sendBookmarks(): void {
		for (const watcher of this.watchers) {
			watcher.notify({type: 'bookmark', resourceVersion: this.formatVersion()});
		}
	}

	readEra(): number {
		return this.era;
	}

	/** Formats the version of the latest change. */
	formatVersion(): ResourceVersion {
		return formatVersion({era: this.era, revision: this.version});
	}

	private moveToEra(version: ResourceVersion): ResourceVersion {
		return formatVersion({...parseVersion(version), era: this.era});
	}

	private startWatch(watcher: Watcher, {era, revision: from}: VersionParts): void {
		if (this.faults.isDown) {
			watcher.fail(new ObjectApiError('unavailable', 'the object API is down'));
			return;
		}

		const oldestVersion = this.changes[0]?.version ?? this.version + 1;
		if (era !== this.era || (from + 1 < oldestVersion && from < this.version)) {
			watcher.fail(new ObjectApiError('expired', `version ${from} is too old`));
			return;
		}

		for (const change of this.changes) {
			if (change.version > from && change.event.object.collection === watcher.collection) {
				watcher.notify(change.event);
			}
		}

		this.watchers.add(watcher);
	}

	private async beginCall(kind: 'read' | 'write'): Promise<void> {
		this.calls[kind] += 1;
		if (this.faults.delayMs > 0) {
			await new Promise(resolve => {
				setTimeout(resolve, this.faults.delayMs);
			});
		}

		if (this.faults.isDown) {
			throw new ObjectApiError('unavailable', 'the object API is down');
		}
	}

	private completeWrite<Result>(result: Result): Result {
		if (this.faults.lostAnswers > 0) {
			this.faults.lostAnswers -= 1;
			throw new ObjectApiError('unknownOutcome', 'the answer was lost');
		}

		return result;
	}

	private openCollection(collection: string): Map<string, StoredObject> {
		let objects = this.collections.get(collection);
		if (objects === undefined) {
			objects = new Map();
			this.collections.set(collection, objects);
		}

		return objects;
	}

	private findObject(collection: string, name: string): StoredObject {
		const object = this.openCollection(collection).get(name);
		if (object === undefined) {
			throw new ObjectApiError('notFound', `${collection}/${name} does not exist`);
		}

		return object;
	}

	private checkVersion(collection: string, name: string, expected?: ResourceVersion): StoredObject {
		const object = this.findObject(collection, name);
		if (expected !== undefined && object.resourceVersion !== expected) {
			throw new ObjectApiError('conflict', `${collection}/${name} is at version ${object.resourceVersion}, not ${expected}`);
		}

		return object;
	}

	/** Stores an object. Without a new status, it keeps the one that it has. */
	private storeObject<Value>(type: 'added' | 'modified', collection: string, name: string, value: Value, newStatus?: unknown): StoredObject<Value> {
		const status = newStatus ?? this.openCollection(collection).get(name)?.status;
		const text = JSON.stringify(value);
		if (Buffer.byteLength(text) > maximumValueBytes) {
			throw new ObjectApiError('tooLarge', `${collection}/${name} is larger than ${maximumValueBytes} bytes`);
		}

		this.version += 1;
		const object: StoredObject<Value> = {
			collection, name, resourceVersion: this.formatVersion(), value: JSON.parse(text) as Value, ...(status !== undefined && {status}),
		};
		this.openCollection(collection).set(name, object);
		this.publish({type, object});
		return object;
	}

	private publish(event: WatchEvent & {readonly object: StoredObject}): void {
		this.changes.push({version: this.version, event});
		if (this.changes.length > 2 * minimumRetainedChanges) {
			this.changes = this.changes.slice(-minimumRetainedChanges);
		}

		for (const watcher of this.watchers) {
			if (watcher.collection === event.object.collection) {
				watcher.notify(event);
			}
		}
	}
}
