/**
 * Keys of prompt parts. A part is identified by the model of the call and the id of the part, since engines of
 * different models may treat the same part differently.
 */

import type {EngineWork} from '../../forwarding/call-types/index.js';
import type {Branded} from '../../identity/ids/index.js';

/** Identifies a prompt part of a model; readable in logs. */
export type PartKey = Branded<string, 'PartKey'>;

/** Longest key that is accepted, in characters. Parts with longer ids are not tracked. */
export const maximumKeyLength = 200;
/** Maximum number of parts of a prompt that are tracked. */
export const maximumTrackedParts = 32;

/** Creates the key of a part. The part id is escaped, so that the last slash separates it from the model. */
export function createPartKey(model: string, partId: string): PartKey {
	return `${model}/${encodeURIComponent(partId)}` as PartKey;
}

/** Splits a key into model and part id. */
export function splitPartKey(key: PartKey): {readonly model: string; readonly partId: string} {
	const separator = key.lastIndexOf('/');
	return {model: key.slice(0, separator), partId: decodeURIComponent(key.slice(separator + 1))};
}

/** Lists the keys of the parts that a call may share with other calls: all but the last one, in prompt order. */
export function listSharedPartKeys(work: EngineWork | undefined): PartKey[] {
	if (work === undefined) {
		return [];
	}

	return work.parts.slice(0, -1).slice(0, maximumTrackedParts)
		.map(part => createPartKey(work.model, part.id))
		.filter(key => key.length <= maximumKeyLength);
}
