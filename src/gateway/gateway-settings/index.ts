/** Settings of the gateway process. */

import {z} from 'zod';
import {isAddress, parseSettingsFile} from '../../settings/parse-settings-file/index.js';

const addressSchema = z.string().refine(isAddress, 'must be host:port');
/** As long as a whole request may take. */
const defaultBodyStallMs = 30_000;

/** Schema of the settings. Unknown fields are ignored, so that an older version starts with newer settings. */
export const gatewaySettingsSchema = z.object({
	/** Name of this instance. */
	instance: z.string().min(1).max(100),
	dataCentre: z.string().min(1).max(100),
	region: z.string().min(1).max(100),
	listen: z.object({
		caller: addressSchema,
		readiness: addressSchema,
		directory: addressSchema,
		peer: addressSchema,
		/** Serves metrics and the dump. */
		admin: addressSchema,
	}),
	objectApi: addressSchema,
	/** Addresses of up to three other instances. Only their host is used; their peer port is taken to be that of `listen.peer`. */
	seeds: z.array(z.string()),
	/** Retries that all instances together may send per service: `ratio` per call, plus `extra` in any time window. */
	retryBudget: z.object({ratio: z.number().min(0).max(10), extra: z.number().min(0)}),
	/**
	 * Tolerance that operators grant on token quotas, because instances synchronise with a delay: `ratio` is a
	 * fraction of rate and burst, `extraTokens` a number of tokens in any time window.
	 */
	quotaTolerance: z.object({ratio: z.number().min(0).max(1), extraTokens: z.number().min(0)}),
	/** Time after newer weights are named from which no call may start on older ones, in milliseconds. */
	weightsLimitMs: z.number().positive(),
	/** What the instance may use: its share of each core, the number of cores, and the bandwidth of its link. */
	capacity: z.object({
		coreShare: z.number().positive(), cores: z.number().positive(), linkMegabitsPerSecond: z.number().positive(),
	}).optional(),
	/** Memory of the machine, in units of 2^20 bytes. */
	memoryMb: z.number().positive().optional(),
	/** Descriptors that the process may open. */
	descriptors: z.number().int().positive().optional(),
	/** What callers may take; limits that are absent follow from memory and descriptors of the machine. */
	callers: z.object({
		/** Memory that the bodies of all calls in progress may take together. */
		heldBodyBytes: z.number().int().positive().optional(),
		/** Connections of callers. */
		connections: z.number().int().positive().optional(),
		/** Time for which a body may go without progress, in milliseconds; shorter the more memory bodies take. */
		bodyStallMs: z.number().positive().default(defaultBodyStallMs),
	}).prefault({}),
	/** Time between SIGTERM and SIGKILL, in milliseconds. */
	graceMs: z.number().positive(),
});

/** Validated settings. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/** Parses settings; throws `settingsInvalid` with file, line and reason of each error. */
export function parseGatewaySettings(text: string, file: string): GatewaySettings {
	return parseSettingsFile(text, file, gatewaySettingsSchema);
}
