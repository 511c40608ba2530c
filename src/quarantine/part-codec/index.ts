/** Stored form of the keys of prompt parts. */

import {
	createPartKey, maximumKeyLength, splitPartKey, type PartKey,
} from '../part-key/index.js';
import type {KeyCodec} from '../quarantine-records/index.js';

/** Stores a part as its model and its id. */
export const partCodec: KeyCodec<PartKey> = {
	formatName(key) {
		const {model, partId} = splitPartKey(key);
		return `${escapeName(partId)}.${escapeName(model)}`;
	},
	describe(key) {
		const {model, partId} = splitPartKey(key);
		return {model, part: partId};
	},
	parse({model, part}) {
		return typeof model === 'string' && typeof part === 'string' ? createKey(model, part) : undefined;
	},
};

function escapeName(text: string): string {
	return text.replaceAll(/[^a-z\d]/giu, character => `-${character.codePointAt(0)!.toString(16)}-`);
}

/** Creates a part's key; undefined if it is too long or has characters without an encoding. */
function createKey(model: string, part: string): PartKey | undefined {
	try {
		const key = createPartKey(model, part);
		return key.length <= maximumKeyLength ? key : undefined;
	} catch {
		return undefined;
	}
}
