/** Settings of the daemon: JSON with comments, checked against a schema. */

import {z} from 'zod';
import {placementStrategies} from '../../placement/create-placement/index.js';
import {isAddress, parseSettingsFile} from '../../settings/parse-settings-file/index.js';

const addressSchema = z.string().refine(isAddress, 'must be host:port');
const originSchema = z.string().regex(/^https?:\/\/[^/]+$/u, 'must be http://host:port without a path');

/** Schema of the settings file. Times are in milliseconds, sizes in bytes. */
export const settingsSchema = z.strictObject({
	/** Name of this instance, unique over both fleets; a successor at the same address keeps it. */
	instance: z.string().min(1).max(63),
	fleet: z.string().min(1).max(63),
	region: z.string().min(1).max(63).default('default'),
	dataCentre: z.string().min(1).max(63),
	listen: z.strictObject({caller: addressSchema, peer: addressSchema, admin: addressSchema}),
	platform: z.strictObject({objectApi: originSchema, instanceList: originSchema.optional()}),
	/** Peer addresses of other instances, asked first at the start. */
	seeds: z.array(addressSchema).max(64).default([]),
	limits: z.strictObject({
		bodyBytes: z.number().int().min(1024).max(64 * 1024 * 1024).default(8 * 1024 * 1024),
		headerBytes: z.number().int().min(1024).max(256 * 1024).default(32 * 1024),
		connections: z.number().int().min(1).max(100_000).default(4096),
		receiveTimeoutMs: z.number().int().min(100).max(600_000).default(30_000),
		/** Requests that may wait for an engine, over all organisations and per model. */
		queuedRequests: z.number().int().min(1).max(100_000).default(1000),
		/** Longest wait for an engine. */
		queueWaitMs: z.number().int().min(1).max(600_000).default(10_000),
	}).prefault({}),
	placement: z.strictObject({
		strategy: z.enum(placementStrategies).default('prefix'),
		/** Prompt tokens that an engine computes per millisecond. */
		prefillTokensPerMs: z.number().positive().max(10_000).default(20),
		/** Extra time of a request to an engine in another data centre. */
		distanceMs: z.number().min(0).max(1000).default(1),
		/** Pieces of the prompt that `consistentHash` looks at. */
		hashedPieces: z.number().int().min(1).max(1000).default(4),
		/** Prefill work at an engine, in milliseconds, above which requests wait here instead. */
		engineBacklogMs: z.number().positive().max(600_000).default(1000),
	}).prefault({}),
	/** How long callers may keep an address answer. */
	addressValidityMs: z.number().int().min(100).max(600_000).default(10_000),
	/** Planned stop. */
	stop: z.strictObject({
		/**
		 * Time beyond `addressValidityMs` for which a leaving instance still accepts. It covers peers that
		 * hear of the leave late: one that lost contact stops handing out this address after 5 s.
		 */
		marginMs: z.number().int().min(0).max(600_000).default(5000),
		/** Time after which the rest of the requests is given up. */
		maximumMs: z.number().int().min(100).max(3_600_000).default(300_000),
	}).prefault({}),
	/** Longest silence between two chunks of a stream. */
	streamSilenceMs: z.number().int().min(100).max(600_000).default(10_000),
});

/** Checked settings. */
export type Settings = z.infer<typeof settingsSchema>;

/** Parses settings; throws `settingsInvalid` with file, line and reason of each fault. */
export function parseSettings(text: string, file: string): Settings {
	return parseSettingsFile(text, file, settingsSchema);
}
