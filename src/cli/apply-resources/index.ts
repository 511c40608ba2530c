/** Writes resources by conditional updates. */

import {isDeepStrictEqual} from 'node:util';
import type {ResourceVersion} from '../../identity/ids/index.js';
import {ObjectApiError, type ObjectApi, type StoredObject} from '../../store/object-api/index.js';
import {
	collectionByKind, formatObjectName, type Resource, type ResourceKind,
} from '../../resources/schemas/index.js';
import {CliError} from '../cli-error/index.js';
import type {ResourceEntry} from '../read-resource-file/index.js';

/** Policies come first and keys last, so that few of the intermediate states are refused. */
const applyOrder: readonly ResourceKind[] = ['NamePolicy', 'Organisation', 'Model', 'Target', 'Route', 'Key'];
const maximumWriteAttempts = 5;

/** Result of applying a resource. */
export type AppliedResource = {
	readonly collection: string;
	readonly name: string;
	readonly action: 'created' | 'updated' | 'unchanged';
	readonly resourceVersion: ResourceVersion;
};

/** Applies `entries` one at a time and calls `onApplied` after each; stops at the first failure and throws it. */
export async function applyResources(api: ObjectApi, entries: readonly ResourceEntry[], onApplied: (applied: AppliedResource) => void): Promise<void> {
	const sortedEntries = entries.toSorted((a, b) => applyOrder.indexOf(a.resource.kind) - applyOrder.indexOf(b.resource.kind));
	for (const entry of sortedEntries) {
		onApplied(await applyResource(api, entry));
	}
}

/**
 * Applies one resource. After a lost response, the object is read back before the write is retried. A
 * conditional update that loses a race against another operator fails with `conflict`.
 */
export async function applyResource(api: ObjectApi, {resource, expected}: Pick<ResourceEntry, 'resource' | 'expected'>): Promise<AppliedResource> {
	const collection = collectionByKind[resource.kind];
	const name = formatObjectName(resource);
	const current = await readObject(api, collection, name);
	if (current !== undefined && isDeepStrictEqual(current.value, resource)) {
		return {
			collection, name, action: 'unchanged', resourceVersion: current.resourceVersion,
		};
	}

	if (expected !== undefined && current?.resourceVersion !== expected) {
		throw createConflict(collection, name, `it is at version ${current?.resourceVersion ?? '(deleted)'}, and the file was read at ${expected}`);
	}

	const written = await writeObject(api, resource, current);
	return {
		collection, name, action: current === undefined ? 'created' : 'updated', resourceVersion: written.resourceVersion,
	};
}

async function writeObject(api: ObjectApi, resource: Resource, current: StoredObject | undefined): Promise<StoredObject> {
	const collection = collectionByKind[resource.kind];
	const name = formatObjectName(resource);
	for (let attempt = 1; ; attempt += 1) {
		try {
			return current === undefined
				? await api.create(collection, name, resource)
				: await api.update(collection, name, resource, current.resourceVersion);
		} catch (error) {
			const failure = error instanceof ObjectApiError ? error.failure : undefined;
			// A retry may also conflict with an earlier attempt of this write that was applied late.
			const mayBeOwnWrite = failure === 'unknownOutcome' || (attempt > 1 && failure === 'conflict');
			const reread = mayBeOwnWrite ? await readObject(api, collection, name) : undefined;
			if (reread !== undefined && isDeepStrictEqual(reread.value, resource)) {
				return reread;
			}

			if (failure === 'conflict' || failure === 'notFound' || (mayBeOwnWrite && reread?.resourceVersion !== current?.resourceVersion)) {
				throw createConflict(collection, name, 'another operator changed it at the same moment');
			}

			if (failure !== 'unknownOutcome' || attempt === maximumWriteAttempts) {
				throw error;
			}
		}
	}
}

/** Reads an object; undefined when it does not exist. */
export async function readObject<Value>(api: ObjectApi, collection: string, name: string): Promise<StoredObject<Value> | undefined> {
	try {
		return await api.get<Value>(collection, name);
	} catch (error) {
		if (error instanceof ObjectApiError && error.failure === 'notFound') {
			return undefined;
		}

		throw error;
	}
}

function createConflict(collection: string, name: string, reason: string): CliError {
	return new CliError('conflict', `${collection}/${name} was not written: ${reason}; read it again and repeat the change`);
}
