/**
 * Messages between instances about the software versions that began streams. They carry remaining times instead of times,
 * since each instance has a monotonic clock of its own.
 */

import {z} from 'zod';
import type {MonotonicMs, SoftwareVersion} from '../../identity/ids/index.js';
import type {SoftwareVersions} from '../software-history/index.js';
import {isStreamKey, streamKeyLength, type StreamKey} from '../stream-key/index.js';
import type {StreamRecord} from '../stream-register/index.js';

/** Maximum number of streams in one message; it bounds the size of a datagram. */
export const maximumRecordsPerMessage = 100;
const maximumVersionLength = 150;
const maximumServices = 1000;
const maximumVersionsPerService = 1000;

const keySchema = z.string().length(streamKeyLength).refine(isStreamKey);
const versionSchema = z.string().min(1).max(maximumVersionLength);
const recordsSchema = z.array(z.tuple([keySchema, versionSchema, z.number().nonnegative(), z.number().int().positive()])).max(maximumRecordsPerMessage);
const lookupSchema = z.object({key: keySchema});
const findingSchema = z.object({software: versionSchema.nullable()});
const versionsSchema = z.record(z.string(), z.array(versionSchema).max(maximumVersionsPerService))
	.refine(services => Object.keys(services).length <= maximumServices);

const historySchema = z.object({services: versionsSchema});

/** Formats records as they are sent at `now`. */
export function formatStreamRecords(records: readonly StreamRecord[], now: MonotonicMs): unknown {
	return records.map(({key, software, recording, expiresAt}) => [key, software, Math.max(0, Math.round(expiresAt - now)), recording]);
}

/** Parses records received at `now`. Throws if they are malformed. */
export function parseStreamRecords(body: unknown, now: MonotonicMs): StreamRecord[] {
	return recordsSchema.parse(body).map(([key, software, remainingMs, recording]) => ({
		key, software: software as SoftwareVersion, recording, expiresAt: now + remainingMs as MonotonicMs,
	}));
}

/** Parses the question for one stream. Throws if it is malformed. */
export function parseStreamLookup(parameters: unknown): StreamKey {
	return lookupSchema.parse(parameters).key;
}

/** Parses the answer to the question for one stream; undefined if the other instance doesn't know it. Throws if it is malformed. */
export function parseStreamFinding(result: unknown): SoftwareVersion | undefined {
	return (findingSchema.parse(result).software ?? undefined) as SoftwareVersion | undefined;
}

/** Parses versions by service. Throws if they are malformed. */
export function parseSoftwareVersions(value: unknown): SoftwareVersions {
	return versionsSchema.parse(value) as unknown as SoftwareVersions;
}

/** Parses the stored versions of all services. Throws if they are malformed. */
export function parseHistoryObject(value: unknown): SoftwareVersions {
	return historySchema.parse(value).services as unknown as SoftwareVersions;
}
