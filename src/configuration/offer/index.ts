/** Sources that offer a head and its parts: the object API and peers. */

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

/** Time limit of a message to a peer, in milliseconds. */
export const peerTimeoutMs = 1000;
const parallelReads = 8;

/** Where a head came from. */
export type SourceKind = 'store' | 'peer';

/** Reads heads and parts. */
export type Source = {
	readonly kind: SourceKind;
	/** Resolves to undefined when the source has no configuration. */
	readHead(): Promise<ConfigurationHead | undefined>;
	/** Adds the parts of these hashes to `cache`, as far as the source has them. */
	readParts(hashes: readonly PartHash[], cache: PartCache, clock: Clock): Promise<void>;
};

/** A head and the source that offered it. */
export type Offer = {readonly head: ConfigurationHead; readonly source: Source};

/** Calls one peer. */
export type PeerCall = (method: string, parameters: unknown, timeoutMs: number) => Promise<unknown>;

/** A peer as a source. */
export class PeerSource implements Source {
	constructor(private readonly call: PeerCall) {}

	get kind(): SourceKind {
		return 'peer';
	}

	async readHead(): Promise<ConfigurationHead | undefined> {
		return parseHeadAnswer(await this.call(fetchHeadMethod, {}, peerTimeoutMs)) ?? undefined;
	}

	async readParts(hashes: readonly PartHash[], cache: PartCache, clock: Clock): Promise<void> {
		for (let start = 0; start < hashes.length; start += partsPerMessage) {
			const query = {parts: hashes.slice(start, start + partsPerMessage)};
			const answer = parsePartsAnswer(await this.call(fetchPartsMethod, query, peerTimeoutMs));
			for (const {hash, content} of answer.parts) {
				cache.add(hash, content, clock.readMonotonic());
			}
		}
	}
}

/** The object API as a source. */
export class StoreSource implements Source {
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
		const rest = [...hashes];
		while (rest.length > 0) {
			await Promise.all(rest.splice(0, parallelReads).map(async hash => {
				const object = await this.objectApi.get<PartContent>(configurationCollection, formatPartName(hash));
				cache.add(hash, object.value, clock.readMonotonic());
			}));
		}
	}
}
