/** Parts in memory, checked against their hashes, and the configurations that they make up. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';
import {Configuration} from '../configuration/index.js';
import {hashParts, type ConfigurationHead, type PartHash} from '../configuration-head/index.js';
import {
	hashPart, joinParts, splitConfiguration, type PartContent,
} from '../split-configuration/index.js';

/** Time for which parts that the current head no longer names are kept for peers that are still fetching them, in milliseconds. */
const retentionMs = 30_000;
/** Up to this size the whole content is hashed once more when it is applied. */
const maximumCheckedItems = 1000;

type CachedPart = {readonly content: PartContent; usedAt: MonotonicMs};

/** Parts by content hash. */
export class PartCache {
	private readonly parts = new Map<PartHash, CachedPart>();

	get size(): number {
		return this.parts.size;
	}

	/** Adds a part; returns false when the content does not match the hash. */
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

	/** Lists the parts of `head` that are not here. */
	listMissing(head: ConfigurationHead): PartHash[] {
		return head.parts.filter(hash => !this.parts.has(hash));
	}

	/** Builds the configuration of `head`; throws `configurationInvalid` when the parts are not what the head names. */
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

	/** Drops parts that `head` does not name and that were not used for a while. */
	retain(head: ConfigurationHead, now: MonotonicMs): void {
		const named = new Set(head.parts);
		for (const [hash, part] of this.parts) {
			if (named.has(hash)) {
				part.usedAt = now;
			} else if (now - part.usedAt > retentionMs) {
				this.parts.delete(hash);
			}
		}
	}
}

/** Whether the content is what the head names. Large contents rest on the hashes of their parts, to spare the event loop. */
export function matchesHead({data}: Configuration, head: ConfigurationHead): boolean {
	const items = data.organisations.length + data.keys.length + data.models.length + data.routes.length + data.targets.length;
	return items > maximumCheckedItems || hashParts([...splitConfiguration(data).keys()]) === head.contentHash;
}
