/** Caches parts that are verified against their hashes, and builds configurations from them. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';
import {Configuration} from '../configuration/index.js';
import {hashParts, type ConfigurationHead, type PartHash} from '../configuration-head/index.js';
import {
	hashPart, joinParts, splitConfiguration, type PartContent,
} from '../split-configuration/index.js';

/** A part stays cached for this time after it was added or the last head in force referenced it, for peers that are still fetching it. */
const minimumRetentionMs = 30_000;
/** Up to this number of items the whole content is hashed again when it is applied. */
const maximumRehashedItems = 1000;

type CachedPart = {readonly content: PartContent; usedAt: MonotonicMs};

/** In-memory cache of parts by content hash. */
export class PartCache {
	private readonly parts = new Map<PartHash, CachedPart>();
	/** Parts of the head that was applied last. */
	private appliedHashes: ReadonlySet<PartHash> = new Set();

	get size(): number {
		return this.parts.size;
	}

	/** Adds a part. Returns false if the content does not match the hash. */
	add(hash: PartHash, content: PartContent, now: MonotonicMs): boolean {
		if (this.parts.has(hash)) {
			return true;
		}

		if (hashPart(content) !== hash) {
			return false;
		}

		this.parts.set(hash, {content, usedAt: now});
		return true;
	}

	find(hash: PartHash): PartContent | undefined {
		return this.parts.get(hash)?.content;
	}

	/** Lists the hashes of the parts of `head` that are not cached. */
	listMissing(head: ConfigurationHead): PartHash[] {
		return head.parts.filter(hash => !this.parts.has(hash));
	}

	/** Builds the configuration of `head`. Throws `configurationInvalid` if the part hashes do not match its content hash or a part is not cached. */
	build(head: ConfigurationHead): Configuration {
		if (hashParts(head.parts) !== head.contentHash) {
			throw createRouterError('configurationInvalid', `the parts of revision ${head.revision} do not match its content hash`);
		}

		const contents = head.parts.map(hash => {
			const content = this.find(hash);
			if (content === undefined) {
				throw createRouterError('configurationInvalid', `part ${hash} of revision ${head.revision} is missing`);
			}

			return content;
		});
		return new Configuration(head.revision, joinParts(contents));
	}

	/**
	 * Evicts parts that the newly applied `head` does not reference and whose last use is more than `minimumRetentionMs`
	 * ago. The parts of the head before were in use until `now`.
	 */
	evictUnreferenced(head: ConfigurationHead, now: MonotonicMs): void {
		const referenced = new Set(head.parts);
		for (const [hash, part] of this.parts) {
			if (referenced.has(hash) || this.appliedHashes.has(hash)) {
				part.usedAt = now;
			} else if (now - part.usedAt > minimumRetentionMs) {
				this.parts.delete(hash);
			}
		}

		this.appliedHashes = referenced;
	}
}

/** Whether the content matches the hash of the head. To spare the event loop, large contents are not hashed again; their parts are verified already. */
export function matchesHead({data}: Configuration, head: ConfigurationHead): boolean {
	const items = data.organisations.length + data.keys.length + data.models.length + data.routes.length + data.targets.length;
	return items > maximumRehashedItems || hashParts([...splitConfiguration(data).keys()]) === head.contentHash;
}
