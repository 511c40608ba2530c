/** Local replicas of the six collections that operators write. */

import {CollectionMirror, type CollectionMirrorOptions} from '../../store/collection-mirror/index.js';
import type {StoredObject} from '../../store/object-api/index.js';
import {collectionByKind} from '../../resources/schemas/index.js';

/** Mirrors of all resource collections, one per collection. */
export class ResourceMirror {
	private readonly mirrors: readonly CollectionMirror[];

	constructor(options: Omit<CollectionMirrorOptions, 'collection'>) {
		this.mirrors = Object.values(collectionByKind).map(collection => new CollectionMirror({...options, collection}));
	}

	get isSynced(): boolean {
		return this.mirrors.every(mirror => mirror.isSynced);
	}

	/** Keeps all mirrors up to date until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all(this.mirrors.map(async mirror => mirror.run(signal)));
	}

	/** Reads all collections again. Once this resolves, every mirror is at least as recent as the call. */
	async refresh(): Promise<void> {
		await Promise.all(this.mirrors.map(async mirror => mirror.refresh()));
	}

	/** Lists the objects of all collections. */
	list(): StoredObject[] {
		return this.mirrors.flatMap(mirror => [...mirror.objects.values()]);
	}
}
