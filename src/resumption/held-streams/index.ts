/** Stored form of the records of streams: for each version, the keys of its streams one after another. */

import {z} from 'zod';
import type {SoftwareVersion} from '../../identity/ids/index.js';
import {isStreamKey, streamKeyLength, type StreamKey} from '../stream-key/index.js';
import type {StreamRecord} from '../stream-register/index.js';

/** A stored stream. */
export type HeldStream = Pick<StreamRecord, 'key' | 'software'>;

/** Limit of the streams in one object; above it, those whose callers give up first are left out. */
const maximumStoredStreams = 30_000;

const heldStreamsSchema = z.object({streams: z.record(z.string(), z.string())});

/** Formats the object of one holder. */
export function formatHeldStreams(records: readonly StreamRecord[]): unknown {
	const kept = records.length > maximumStoredStreams
		? records.toSorted((a, b) => b.expiresAt - a.expiresAt).slice(0, maximumStoredStreams)
		: records;
	const keys: Record<string, string> = {};
	for (const {key, software} of kept) {
		keys[software] = (keys[software] ?? '') + key;
	}

	return {streams: keys};
}

/** Parses the object of one holder. Throws if they are malformed. */
export function parseHeldStreams(value: unknown): HeldStream[] {
	return Object.entries(heldStreamsSchema.parse(value).streams).flatMap(([software, keys]) => splitKeys(keys)
		.map(key => ({key, software: software as SoftwareVersion})));
}

function splitKeys(text: string): StreamKey[] {
	const keys: StreamKey[] = [];
	for (let offset = 0; offset < text.length; offset += streamKeyLength) {
		const key = text.slice(offset, offset + streamKeyLength);
		if (!isStreamKey(key)) {
			throw new TypeError('the keys of streams are not valid');
		}

		keys.push(key);
	}

	return keys;
}
