/**
 * The stored configuration as its writer sees it. Parts are written first, then the head is
 * advanced by compare-and-swap, so that a reader of the head finds every part that it names.
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

/** Parts that no recent head named are deleted after this time, in milliseconds. */
export const partRetentionMs = 600_000;
const parallelWrites = 8;

/** The stored head that the next write replaces. */
export type HeadBasis = {
	/** Undefined while there is no head object. */
	readonly version: ResourceVersion | undefined;
	readonly head: ConfigurationHead | undefined;
	readonly data: ConfigurationData | undefined;
};

/** Writer of head and parts. `writer` is unique to this process. */
export class HeadStore {
	/** What was last read or written; undefined when it must be read. */
	basis: HeadBasis | undefined;
	/** Data of the last complete head, from which a lost part is written again. */
	private complete: {readonly contentHash: ContentHash; readonly data: ConfigurationData} | undefined;
	private stored = new Map<PartHash, ResourceVersion>();
	private readonly unnamedSince = new Map<PartHash, MonotonicMs>();

	constructor(private readonly objectApi: ObjectApi, private readonly writer: string, private readonly metrics: ConfigurationMetrics) {}

	/** Whether the head is this process's own last write. */
	get isOwn(): boolean {
		return this.basis?.head?.writer === this.writer;
	}

	/** Reads head and parts. */
	async load(): Promise<HeadBasis> {
		const {items} = await this.objectApi.list(configurationCollection);
		const contents = new Map<PartHash, PartContent>();
		this.stored = new Map();
		for (const object of items) {
			const hash = extractPartHash(object.name);
			if (hash !== undefined) {
				contents.set(hash, object.value as PartContent);
				this.stored.set(hash, object.resourceVersion);
			}
		}

		const basis = readBasis(items.find(object => object.name === headName), contents);
		const data = basis.data ?? (basis.head?.contentHash === this.complete?.contentHash ? this.complete?.data : undefined);
		return this.setBasis({...basis, data});
	}

	/**
	 * Brings `data` into the head with a revision above `leastRevision`, unless the head has it already.
	 * Returns the head, or undefined when another writer was faster or the outcome has to be read again.
	 */
	async advance(data: ConfigurationData, leastRevision: Revision, isAllowed: () => boolean): Promise<ConfigurationHead | undefined> {
		const basis = this.basis ?? await this.load();
		const parts = splitConfiguration(data);
		const hashes = [...parts.keys()];
		const contentHash = hashParts(hashes);
		await this.writeParts(parts);
		if (basis.head?.contentHash === contentHash && basis.head.revision >= leastRevision) {
			return basis.head;
		}

		const revision = Math.max(basis.head?.revision ?? 0, leastRevision) + 1 as Revision;
		const head: ConfigurationHead = {
			revision, contentHash, parts: hashes, writer: this.writer,
		};
		return isAllowed() ? this.writeHead(head, data, basis.version) : undefined;
	}

	/** Writes missing parts of the head again and deletes parts that no head has named for a while. */
	async collectGarbage(now: MonotonicMs): Promise<void> {
		const {head, data} = await this.load();
		if (data !== undefined) {
			await this.writeParts(splitConfiguration(data));
		}

		const named = new Set(head?.parts);
		for (const [hash, version] of this.stored) {
			if (named.has(hash)) {
				this.unnamedSince.delete(hash);
				continue;
			}

			const since = this.unnamedSince.get(hash) ?? now;
			this.unnamedSince.set(hash, since);
			if (now - since >= partRetentionMs) {
				await this.removePart(hash, version);
			}
		}
	}

	private setBasis(basis: HeadBasis): HeadBasis {
		this.basis = basis;
		if (basis.head !== undefined && basis.data !== undefined) {
			this.complete = {contentHash: basis.head.contentHash, data: basis.data};
		}

		return basis;
	}

	private async writeHead(head: ConfigurationHead, data: ConfigurationData, version: ResourceVersion | undefined): Promise<ConfigurationHead | undefined> {
		this.basis = undefined;
		try {
			const object = version === undefined
				? await this.objectApi.create(configurationCollection, headName, head)
				: await this.objectApi.update(configurationCollection, headName, head, version);
			this.setBasis({version: object.resourceVersion, head, data});
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

	/** Finds out whether a write without an answer took effect. If not, the caller starts again from what is stored now. */
	private async readBack(head: ConfigurationHead): Promise<ConfigurationHead | undefined> {
		this.metrics.readBacks.inc();
		const {head: stored} = await this.load();
		const isWritten = stored?.writer === this.writer && stored.revision === head.revision && stored.contentHash === head.contentHash;
		return isWritten ? head : undefined;
	}

	private async writeParts(parts: ReadonlyMap<PartHash, PartContent>): Promise<void> {
		const missing = [...parts].filter(([hash]) => !this.stored.has(hash));
		while (missing.length > 0) {
			await Promise.all(missing.splice(0, parallelWrites).map(async ([hash, content]) => this.writePart(hash, content)));
		}
	}

	/** A part that exists already is the same part, so that a repeated write after a lost answer is harmless. */
	private async writePart(hash: PartHash, content: PartContent): Promise<void> {
		const name = formatPartName(hash);
		try {
			const object = await this.objectApi.create(configurationCollection, name, content);
			this.stored.set(hash, object.resourceVersion);
		} catch (error) {
			if (!(error instanceof ObjectApiError) || (error.failure !== 'conflict' && error.failure !== 'unknownOutcome')) {
				throw error;
			}

			const object = await this.objectApi.get(configurationCollection, name);
			this.stored.set(hash, object.resourceVersion);
		}
	}

	private async removePart(hash: PartHash, version: ResourceVersion): Promise<void> {
		await this.objectApi.remove(configurationCollection, formatPartName(hash), version);
		this.stored.delete(hash);
		this.unnamedSince.delete(hash);
		this.metrics.deletedParts.inc();
	}
}

function readBasis(object: StoredObject | undefined, contents: ReadonlyMap<PartHash, PartContent>): HeadBasis {
	const head = object === undefined ? undefined : headSchema.safeParse(object.value).data;
	const parts = head?.parts.map(hash => contents.get(hash)) ?? [];
	const isComplete = head !== undefined && parts.every(part => part !== undefined);
	return {version: object?.resourceVersion, head, data: isComplete ? joinParts(parts) : undefined};
}
