/** Settings of the daemon: JSON with comments, validated against a schema. */

import {z} from 'zod';
import {placementStrategies} from '../../placement/create-placement/index.js';
import {isAddress, parseSettingsFile} from '../../settings/parse-settings-file/index.js';

const addressSchema = z.string().refine(isAddress, 'must be host:port');
const originSchema = z.string().regex(/^https?:\/\/[^/]+$/u, 'must be http://host:port without a path');

/** Schema of the settings file. Times are in milliseconds, sizes in bytes. */
export const settingsSchema = z.strictObject({
	/** Name of this instance, unique across both fleets. A replacement at the same address keeps the name. */
	instance: z.string().min(1).max(63),
	fleet: z.string().min(1).max(63),
	region: z.string().min(1).max(63).default('default'),
	dataCentre: z.string().min(1).max(63),
	listen: z.strictObject({caller: addressSchema, peer: addressSchema, admin: addressSchema}),
	platform: z.strictObject({objectApi: originSchema, instanceList: originSchema.optional()}),
	/** Peer addresses of other instances, which are contacted first at startup. */
	seeds: z.array(addressSchema).max(64).default([]),
	limits: z.strictObject({
		bodyBytes: z.number().int().min(1024).max(64 * 1024 * 1024).default(8 * 1024 * 1024),
		/** Memory that the bodies of all calls in progress may take together. */
		heldBodyBytes: z.number().int().min(1024).default(24 * 1024 * 1024),
		/** Time for which a body may go without progress; shorter the more memory bodies take. */
		bodyStallMs: z.number().int().min(100).max(600_000).default(30_000),
		headerBytes: z.number().int().min(1024).max(256 * 1024).default(32 * 1024),
		connections: z.number().int().min(1).max(100_000).default(4096),
		receiveTimeoutMs: z.number().int().min(100).max(600_000).default(30_000),
		/** Maximum number of requests that wait for an engine, per model across all organisations. */
		queuedRequests: z.number().int().min(1).max(100_000).default(1000),
		/** Maximum time for which a request waits for an engine. */
		queueWaitMs: z.number().int().min(1).max(600_000).default(10_000),
	}).prefault({}),
	placement: z.strictObject({
		strategy: z.enum(placementStrategies).default('prefix'),
		/** Prompt tokens that an engine processes per millisecond (prefill rate). */
		prefillTokensPerMs: z.number().positive().max(10_000).default(20),
		/** Added latency of a request to an engine in another data centre. */
		distanceMs: z.number().min(0).max(1000).default(1),
		/** Number of leading prompt pieces that the `consistentHash` strategy hashes. */
		hashedPieces: z.number().int().min(1).max(1000).default(4),
		/** Prefill backlog of an engine, in milliseconds, above which requests are queued in the router instead. */
		engineBacklogMs: z.number().positive().max(600_000).default(1000),
	}).prefault({}),
	/** Time for which callers may cache the list of instance addresses. */
	addressValidityMs: z.number().int().min(100).max(600_000).default(10_000),
	/** Planned stop. */
	stop: z.strictObject({
		/**
		 * Time beyond `addressValidityMs` for which a leaving instance still accepts requests. It covers peers that
		 * learn of the leave late: a peer that lost contact stops returning this address to callers after 5 s.
		 */
		marginMs: z.number().int().min(0).max(600_000).default(5000),
		/** Time after which the remaining requests are aborted. */
		maximumMs: z.number().int().min(100).max(3_600_000).default(300_000),
	}).prefault({}),
	/** Retries that all instances together may send per service: `ratio` per request, plus `extra`, in any window of `windowMs`. */
	retryBudget: z.strictObject({
		ratio: z.number().min(0).max(10).default(0.1),
		extra: z.number().min(0).max(100_000).default(200),
		windowMs: z.number().int().min(100).max(600_000).default(10_000),
	}).prefault({}),
	/** Idle timeout of a stream: the maximum time between two chunks. */
	streamSilenceMs: z.number().int().min(100).max(600_000).default(10_000),
});

/** Validated settings. */
export type Settings = z.infer<typeof settingsSchema>;

/** Parses settings; throws `settingsInvalid` with file, line and reason of each error. */
export function parseSettings(text: string, file: string): Settings {
	return parseSettingsFile(text, file, settingsSchema);
}
