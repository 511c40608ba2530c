/** Sources from which a head and its parts are read, namely the object API and peers. */

import {ObjectApiError, type ObjectApi} from '../../store/object-api/index.js';
import {
	configurationCollection, formatPartName, headName, headSchema, type ConfigurationHead, type PartHash,
} from '../configuration-head/index.js';
import type {PartCache} from '../part-cache/index.js';
import {
	fetchHeadMethod, fetchPartsMethod, parseHeadAnswer, parsePartsAnswer, partsPerMessage,
} from '../peer-methods/index.js';
import type {PartContent} from '../split-configuration/index.js';
import type {Clock} from '../../clock/clock/index.js';

/** Timeout of a call to a peer. */
export const peerCallTimeoutMs = 1000;
const maximumParallelReads = 8;

/** Where a head was read from. */
export type SourceKind = 'store' | 'peer';

/** Source of the head and its parts. */
export type ConfigurationSource = {
	readonly kind: SourceKind;
	/** Resolves to undefined if the source has no configuration. */
	readHead(): Promise<ConfigurationHead | undefined>;
	/**
	 * Adds the parts with these hashes to `cache`. A peer skips parts that it no longer has;
	 * the object API rejects if one is missing.
	 */
	readParts(hashes: readonly PartHash[], cache: PartCache, clock: Clock): Promise<void>;
};

/** A head and the source that offered it. */
export type OfferedHead = {readonly head: ConfigurationHead; readonly source: ConfigurationSource};

/** Calls one peer. */
export type PeerCall = (method: string, parameters: unknown, timeoutMs: number) => Promise<unknown>;

/** A peer as a source. */
export class PeerSource implements ConfigurationSource {
	constructor(private readonly call: PeerCall) {}

	get kind(): SourceKind {
		return 'peer';
	}

	async readHead(): Promise<ConfigurationHead | undefined> {
		return parseHeadAnswer(await this.call(fetchHeadMethod, {}, peerCallTimeoutMs)) ?? undefined;
	}

	async readParts(hashes: readonly PartHash[], cache: PartCache, clock: Clock): Promise<void> {
		for (let start = 0; start < hashes.length; start += partsPerMessage) {
			const query = {parts: hashes.slice(start, start + partsPerMessage)};
			const answer = parsePartsAnswer(await this.call(fetchPartsMethod, query, peerCallTimeoutMs));
			for (const {hash, content} of answer.parts) {
				cache.add(hash, content, clock.readMonotonic());
			}
		}
	}
}

/** The object API as a source. */
export class StoreSource implements ConfigurationSource {
	constructor(private readonly objectApi: ObjectApi) {}

	get kind(): SourceKind {
		return 'store';
	}

	async readHead(): Promise<ConfigurationHead | undefined> {
		try {
			const object = await this.objectApi.get(configurationCollection, headName);
			return headSchema.parse(object.value);
		} catch (error) {
			if (error instanceof ObjectApiError && error.failure === 'notFound') {
				return undefined;
			}

			throw error;
		}
	}

	async readParts(hashes: readonly PartHash[], cache: PartCache, clock: Clock): Promise<void> {
		const remaining = [...hashes];
		while (remaining.length > 0) {
			await Promise.all(remaining.splice(0, maximumParallelReads).map(async hash => {
				const object = await this.objectApi.get<PartContent>(configurationCollection, formatPartName(hash));
				cache.add(hash, object.value, clock.readMonotonic());
			}));
		}
	}
}
