/** Settings of the gateway process. */

import {z} from 'zod';
import {isAddress, parseSettingsFile} from '../../settings/parse-settings-file/index.js';

const addressSchema = z.string().refine(isAddress, 'must be host:port');

/** Schema of the settings. Unknown fields are ignored, so that an older program starts with newer settings. */
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
		/** Metrics and dump. */
		admin: addressSchema,
	}),
	objectApi: addressSchema,
	/** Addresses of up to three other instances, of which only the host part holds for the peer listener. */
	seeds: z.array(z.string()),
	/** Retries that all instances together may send per service: `ratio` for each call and `extra` in any window. */
	retryBudget: z.object({ratio: z.number().min(0).max(10), extra: z.number().min(0)}),
	/**
	 * Tolerance that operators grant on token quotas, since instances agree with a delay: a part of rate and
	 * burst, and tokens in any window.
	 */
	quotaTolerance: z.object({ratio: z.number().min(0).max(1), extraTokens: z.number().min(0)}),
	/** Time after which no call may begin on weights older than those named, in milliseconds. */
	weightsLimitMs: z.number().positive(),
	/** Time between SIGTERM and SIGKILL, in milliseconds. */
	graceMs: z.number().positive(),
});

/** Checked settings. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/** Parses settings; throws `settingsInvalid` with file, line and reason of each fault. */
export function parseGatewaySettings(text: string, file: string): GatewaySettings {
	return parseSettingsFile(text, file, gatewaySettingsSchema);
}
