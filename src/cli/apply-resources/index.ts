/** Writes resources by conditional updates. */

import {isDeepStrictEqual} from 'node:util';
import type {ResourceVersion} from '../../identity/ids/index.js';
import {ObjectApiError, type ObjectApi, type StoredObject} from '../../store/object-api/index.js';
import {
	collectionByKind, formatObjectName, type Resource, type ResourceKind,
} from '../../resources/schemas/index.js';
import {CliError} from '../cli-error/index.js';
import type {ResourceEntry} from '../read-resource-file/index.js';

/** Policies come first and keys last, so that few of the states in between are refused. */
const kindOrder: readonly ResourceKind[] = ['NamePolicy', 'Organisation', 'Model', 'Target', 'Route', 'Key'];
const maximumAttempts = 5;

/** What became of a resource. */
export type Applied = {
	readonly collection: string;
	readonly name: string;
	readonly action: 'created' | 'updated' | 'unchanged';
	readonly resourceVersion: ResourceVersion;
};

/** Applies `entries` one after the other; throws `CliError` for the first that fails. */
export async function applyResources(api: ObjectApi, entries: readonly ResourceEntry[], note: (applied: Applied) => void): Promise<void> {
	const inOrder = entries.toSorted((a, b) => kindOrder.indexOf(a.resource.kind) - kindOrder.indexOf(b.resource.kind));
	for (const entry of inOrder) {
		note(await applyResource(api, entry));
	}
}

/**
 * Applies one resource. A write whose answer was lost is read back before it is repeated. A
 * conditional update that loses against another operator fails with `conflict`.
 */
export async function applyResource(api: ObjectApi, {resource, expected}: Pick<ResourceEntry, 'resource' | 'expected'>): Promise<Applied> {
	const collection = collectionByKind[resource.kind];
	const name = formatObjectName(resource);
	const before = await readObject(api, collection, name);
	if (before !== undefined && isDeepStrictEqual(before.value, resource)) {
		return {
			collection, name, action: 'unchanged', resourceVersion: before.resourceVersion,
		};
	}

	if (expected !== undefined && before?.resourceVersion !== expected) {
		throw createConflict(collection, name, `it is at version ${before?.resourceVersion ?? '(deleted)'}, and the file was read at ${expected}`);
	}

	const written = await writeObject(api, resource, before);
	return {
		collection, name, action: before === undefined ? 'created' : 'updated', resourceVersion: written.resourceVersion,
	};
}

async function writeObject(api: ObjectApi, resource: Resource, before: StoredObject | undefined): Promise<StoredObject> {
	const collection = collectionByKind[resource.kind];
	const name = formatObjectName(resource);
	for (let attempt = 1; ; attempt += 1) {
		try {
			return before === undefined
				? await api.create(collection, name, resource)
				: await api.update(collection, name, resource, before.resourceVersion);
		} catch (error) {
			const failure = error instanceof ObjectApiError ? error.failure : undefined;
			// A repeated write may also meet its own first attempt that arrived late.
			const mayBeOwn = failure === 'unknownOutcome' || (attempt > 1 && failure === 'conflict');
			const after = mayBeOwn ? await readObject(api, collection, name) : undefined;
			if (after !== undefined && isDeepStrictEqual(after.value, resource)) {
				return after;
			}

			if (failure === 'conflict' || failure === 'notFound' || (mayBeOwn && after?.resourceVersion !== before?.resourceVersion)) {
				throw createConflict(collection, name, 'another operator changed it at the same moment');
			}

			if (failure !== 'unknownOutcome' || attempt === maximumAttempts) {
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
