/** The stored form of an accepted configuration, a head that references immutable parts by content hash. */

import {createHash} from 'node:crypto';
import {z} from 'zod';
import type {Branded, Revision} from '../../identity/ids/index.js';

/** Collection of the head and the parts. */
export const configurationCollection = 'configurations';
/** Object name of the head. */
export const headName = 'head';
const partNamePrefix = 'part-';
/** 128 bits keep a head with 256 parts at 9 KB. Crafted collisions are no concern, because only operators produce content. */
const hashHexDigits = 32;

/** Hash of a part's content. */
export type PartHash = Branded<string, 'PartHash'>;
/** Hash over the part hashes of a configuration. */
export type ContentHash = Branded<string, 'ContentHash'>;

const hashSchema = z.string().regex(/^[\da-f]{32}$/u);

/** Schema of the head. */
export const headSchema = z.object({
	revision: z.number().int().min(1).transform(value => value as Revision),
	contentHash: hashSchema.transform(value => value as ContentHash),
	/** Hashes of the non-empty parts, in slot order. */
	parts: z.array(hashSchema.transform(value => value as PartHash)).max(256),
	/** Process that wrote the head, so that it recognises its own write if the response was lost. */
	writer: z.string(),
});

/** Head of an accepted configuration. */
export type ConfigurationHead = z.infer<typeof headSchema>;

/** Formats the object name of a part. */
export function formatPartName(hash: PartHash): string {
	return partNamePrefix + hash;
}

/** Returns the hash in a part's object name, or undefined for other names. */
export function extractPartHash(name: string): PartHash | undefined {
	return name.startsWith(partNamePrefix) ? name.slice(partNamePrefix.length) as PartHash : undefined;
}

/** Hashes text that is already in canonical form. */
export function hashText(text: string): string {
	return createHash('sha256').update(text).digest('hex').slice(0, hashHexDigits);
}

/** Hashes the content of a configuration that consists of `parts`. */
export function hashParts(parts: readonly PartHash[]): ContentHash {
	return hashText(parts.join('\n')) as ContentHash;
}
