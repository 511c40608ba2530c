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
	/** Retries that all instances together may send per service: `ratio` per call, plus `extra`, in any window of `windowMs` milliseconds. */
	retryBudget: z.object({ratio: z.number().min(0).max(10), extra: z.number().min(0), windowMs: z.number().positive().default(10_000)}),
	/**
	 * Tolerance that operators grant on token quotas, because instances synchronise with a delay: `ratio` is a
	 * fraction of rate and burst, `extraTokens` a number of tokens in any time window.
	 */
	quotaTolerance: z.object({ratio: z.number().min(0).max(1), extraTokens: z.number().min(0)}),
	/** Time after newer weights are named from which no call may start on older ones, in milliseconds. */
	weightsLimitMs: z.number().positive(),
	/** Whether targets are chosen by learned speeds and by loads that are corrected for the age of reports. */
	evenLoad: z.boolean().default(false),
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
	/** Makes calls for which no target has room wait in admission queues; without it, each looks for room by itself. */
	admission: z.object({
		/** Calls that may wait at this instance. */
		maximumCalls: z.number().int().min(1).max(100_000).default(1000),
		/** Memory that waiting calls may hold at this instance, in bytes. */
		maximumBytes: z.number().int().min(1_000_000).default(33_554_432),
		/** Longest wait of a call, in milliseconds. */
		longestWaitMs: z.number().min(100).max(60_000).default(5000),
		/** Part of the tightest latency goal of a service that prompts at one of its engines may take; 0 if only its memory counts. */
		goalFraction: z.number().min(0).max(10).default(0.8),
	}).optional(),
	/**
	 * What a bad software version may get while operators move a service to it: a share of all requests until the deadline,
	 * requests in addition, and the time after its 50th bad answer. Without it, orders to move a service are not followed.
	 */
	softwareRollout: z.object({
		exposureShare: z.number().min(0).max(1), exposureSlack: z.number().min(0), rollbackMs: z.number().positive(),
	}).optional(),
	/** Time between SIGTERM and SIGKILL, in milliseconds. */
	graceMs: z.number().positive(),
});

/** Validated settings. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/** Parses settings; throws `settingsInvalid` with file, line and reason of each error. */
export function parseGatewaySettings(text: string, file: string): GatewaySettings {
	return parseSettingsFile(text, file, gatewaySettingsSchema);
}
