/**
 * Keys of a prompt's prefixes. A key is a chained hash of everything that a cached block depends on: the
 * cache salt (the organisation), base model, adapter, weights version, and all text up to the end of the block.
 */

import createXxhash from 'xxhash-wasm';
import type {BlockKey} from '../../identity/ids/index.js';

/** Size of a piece of a prompt, in bytes of UTF-8. Each full piece gets a key. */
export const pieceBytes = 8192;
/** Assumed average size of a token, in bytes of UTF-8. */
export const bytesPerToken = 4;

/** What a cached block depends on in addition to the text. */
export type CacheScope = {
	/** Salt that separates organisations. */
	readonly salt: string;
	readonly base: string;
	readonly adapter?: string;
	readonly weightsVersion: string;
};

const {h64Raw, h64ToString} = await createXxhash();

/** Returns the keys of the full pieces of `prompt`, shortest prefix first. */
export function hashPrompt(scope: CacheScope, prompt: string): BlockKey[] {
	const bytes = Buffer.from(prompt, 'utf8');
	const keys: BlockKey[] = [];
	let chainedHash = h64ToString(JSON.stringify([scope.salt, scope.base, scope.adapter ?? null, scope.weightsVersion]));
	for (let end = pieceBytes; end <= bytes.length; end += pieceBytes) {
		const pieceHash = h64Raw(bytes.subarray(end - pieceBytes, end));
		chainedHash = h64ToString(`${chainedHash}:${pieceHash.toString(16)}`);
		keys.push(chainedHash as BlockKey);
	}

	return keys;
}

/** Estimates the number of tokens of a prompt from its size in bytes. */
export function estimateTokens(prompt: string): number {
	return Math.ceil(Buffer.byteLength(prompt, 'utf8') / bytesPerToken);
}
