/**
 * One object of the object API that an instance reads and replaces. A replacement is conditional on the version that was
 * last read or written, so that a write that is carried out late does no harm.
 */

import type {ResourceVersion} from '../../identity/ids/index.js';
import {ObjectApiError, type ObjectApi} from '../object-api/index.js';

/** Options of `ConditionalObject`. */
export type ConditionalObjectOptions = {
	readonly objectApi: Pick<ObjectApi, 'get' | 'create' | 'update'>;
	readonly collection: string;
	readonly name: string;
};

/** An object whose last version is remembered. */
export class ConditionalObject {
	/** Whether the object, or its absence, was read or written and no write has failed since. */
	isKnown = false;
	private version: ResourceVersion | undefined;

	constructor(private readonly options: ConditionalObjectOptions) {}

	/** Reads the object; resolves to undefined if there is none. Rejects with an `ObjectApiError`. */
	async read(): Promise<unknown> {
		const {objectApi, collection, name} = this.options;
		try {
			const {value, resourceVersion} = await objectApi.get(collection, name);
			this.version = resourceVersion;
			this.isKnown = true;
			return value;
		} catch (error) {
			if (!(error instanceof ObjectApiError) || error.failure !== 'notFound') {
				throw error;
			}

			this.forget();
			this.isKnown = true;
			return undefined;
		}
	}

	/** Creates or replaces the object. After a failure it has to be read again. Rejects with an `ObjectApiError`. */
	async write(value: unknown): Promise<void> {
		const {objectApi, collection, name} = this.options;
		const {version} = this;
		this.forget();
		const written = await (version === undefined ? objectApi.create(collection, name, value) : objectApi.update(collection, name, value, version));
		this.version = written.resourceVersion;
		this.isKnown = true;
	}

	/** Forgets the version, so that the object has to be read again. */
	forget(): void {
		this.version = undefined;
		this.isKnown = false;
	}
}
