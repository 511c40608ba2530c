/**
 * Writes the configuration to the object API. Parts are written before the head is replaced by
 * compare-and-swap, so that every part that a head references exists when the head is read.
 */

import type {MonotonicMs, ResourceVersion, Revision} from '../../identity/ids/index.js';
import {ObjectApiError, type ObjectApi, type StoredObject} from '../../store/object-api/index.js';
import type {ConfigurationData} from '../configuration/index.js';
import {
	configurationCollection, extractPartHash, formatPartName, hashParts, headName, headSchema,
	type ConfigurationHead, type ContentHash, type PartHash,
} from '../configuration-head/index.js';
import {joinParts, splitConfiguration, type PartContent} from '../split-configuration/index.js';
import type {ConfigurationMetrics} from '../configuration-metrics/index.js';

/** Time after which a part that the head no longer references is deleted. */
export const partRetentionMs = 600_000;
const maximumParallelWrites = 8;

/** The head object as last read or written, which the next write replaces. */
export type StoredHead = {
	/** Undefined if there is no head object. */
	readonly version: ResourceVersion | undefined;
	readonly head: ConfigurationHead | undefined;
	/** Undefined if there is no valid head, or if a part is missing and its content is not known from an earlier read. */
	readonly data: ConfigurationData | undefined;
};

/** Reads and writes the head and its parts. `writer` must be unique to this process. */
export class HeadStore {
	/** Head as last read or written; undefined if it must be read again. */
	current: StoredHead | undefined;
	/** Data of the last head whose parts were all present, from which a lost part is restored. */
	private lastComplete: {readonly contentHash: ContentHash; readonly data: ConfigurationData} | undefined;
	private partVersions = new Map<PartHash, ResourceVersion>();
	private readonly unreferencedSince = new Map<PartHash, MonotonicMs>();

	constructor(private readonly objectApi: ObjectApi, private readonly writer: string, private readonly metrics: ConfigurationMetrics) {}

	/** Whether this process wrote the current head. */
	get isOwnWrite(): boolean {
		return this.current?.head?.writer === this.writer;
	}

	/** Reads the head and its parts. */
	async load(): Promise<StoredHead> {
		const {items} = await this.objectApi.list(configurationCollection);
		const contents = new Map<PartHash, PartContent>();
		this.partVersions = new Map();
		for (const object of items) {
			const hash = extractPartHash(object.name);
			if (hash !== undefined) {
				contents.set(hash, object.value as PartContent);
				this.partVersions.set(hash, object.resourceVersion);
			}
		}

		const storedHead = parseStoredHead(items.find(object => object.name === headName), contents);
		const data = storedHead.data ?? (storedHead.head?.contentHash === this.lastComplete?.contentHash ? this.lastComplete?.data : undefined);
		return this.setCurrent({...storedHead, data});
	}

	/**
	 * Replaces the head by one for `data` with a revision above `revisionFloor` and above the head's. Keeps a head that
	 * already has this content and a revision of at least `revisionFloor`. Returns the head, or undefined if `mayWriteHead`
	 * returns false, if another writer replaced the head first or if a write of unknown outcome did not take effect.
	 */
	async advance(data: ConfigurationData, revisionFloor: Revision, mayWriteHead: () => boolean): Promise<ConfigurationHead | undefined> {
		const storedHead = this.current ?? await this.load();
		const parts = splitConfiguration(data);
		const hashes = [...parts.keys()];
		const contentHash = hashParts(hashes);
		await this.writeMissingParts(parts);
		if (storedHead.head?.contentHash === contentHash && storedHead.head.revision >= revisionFloor) {
			return storedHead.head;
		}

		const revision = Math.max(storedHead.head?.revision ?? 0, revisionFloor) + 1 as Revision;
		const head: ConfigurationHead = {
			revision, contentHash, parts: hashes, writer: this.writer,
		};
		return mayWriteHead() ? this.writeHead(head, data, storedHead.version) : undefined;
	}

	/** Restores missing parts of the head and deletes parts that it has not referenced for `partRetentionMs`. */
	async collectGarbage(now: MonotonicMs): Promise<void> {
		const {head, data} = await this.load();
		if (data !== undefined) {
			await this.writeMissingParts(splitConfiguration(data));
		}

		const referenced = new Set(head?.parts);
		for (const [hash, version] of this.partVersions) {
			if (referenced.has(hash)) {
				this.unreferencedSince.delete(hash);
				continue;
			}

			const since = this.unreferencedSince.get(hash) ?? now;
			this.unreferencedSince.set(hash, since);
			if (now - since >= partRetentionMs) {
				await this.deletePart(hash, version);
			}
		}
	}

	private setCurrent(storedHead: StoredHead): StoredHead {
		this.current = storedHead;
		if (storedHead.head !== undefined && storedHead.data !== undefined) {
			this.lastComplete = {contentHash: storedHead.head.contentHash, data: storedHead.data};
		}

		return storedHead;
	}

	private async writeHead(head: ConfigurationHead, data: ConfigurationData, version: ResourceVersion | undefined): Promise<ConfigurationHead | undefined> {
		this.current = undefined;
		try {
			const object = version === undefined
				? await this.objectApi.create(configurationCollection, headName, head)
				: await this.objectApi.update(configurationCollection, headName, head, version);
			this.setCurrent({version: object.resourceVersion, head, data});
			return head;
		} catch (error) {
			const failure = error instanceof ObjectApiError ? error.failure : undefined;
			if (failure === 'conflict' || failure === 'notFound') {
				this.metrics.headConflicts.inc();
				return undefined;
			}

			if (failure === 'unknownOutcome') {
				return this.readBack(head);
			}

			throw error;
		}
	}

	/** Reads the head after a write of unknown outcome. If the write did not take effect, the caller retries from what is now stored. */
	private async readBack(head: ConfigurationHead): Promise<ConfigurationHead | undefined> {
		this.metrics.readBacks.inc();
		const {head: storedHead} = await this.load();
		const isWritten = storedHead?.writer === this.writer && storedHead.revision === head.revision && storedHead.contentHash === head.contentHash;
		return isWritten ? head : undefined;
	}

	private async writeMissingParts(parts: ReadonlyMap<PartHash, PartContent>): Promise<void> {
		const missing = [...parts].filter(([hash]) => !this.partVersions.has(hash));
		while (missing.length > 0) {
			await Promise.all(missing.splice(0, maximumParallelWrites).map(async ([hash, content]) => this.writePart(hash, content)));
		}
	}

	/** Creates a part. This is idempotent, because an existing part of the same hash has the same content. */
	private async writePart(hash: PartHash, content: PartContent): Promise<void> {
		const name = formatPartName(hash);
		try {
			const object = await this.objectApi.create(configurationCollection, name, content);
			this.partVersions.set(hash, object.resourceVersion);
		} catch (error) {
			if (!(error instanceof ObjectApiError) || (error.failure !== 'conflict' && error.failure !== 'unknownOutcome')) {
				throw error;
			}

			const object = await this.objectApi.get(configurationCollection, name);
			this.partVersions.set(hash, object.resourceVersion);
		}
	}

	private async deletePart(hash: PartHash, version: ResourceVersion): Promise<void> {
		await this.objectApi.remove(configurationCollection, formatPartName(hash), version);
		this.partVersions.delete(hash);
		this.unreferencedSince.delete(hash);
		this.metrics.deletedParts.inc();
	}
}

function parseStoredHead(object: StoredObject | undefined, contents: ReadonlyMap<PartHash, PartContent>): StoredHead {
	const head = object === undefined ? undefined : headSchema.safeParse(object.value).data;
	const parts = head?.parts.map(hash => contents.get(hash)) ?? [];
	const isComplete = head !== undefined && parts.every(part => part !== undefined);
	return {version: object?.resourceVersion, head, data: isComplete ? joinParts(parts) : undefined};
}
