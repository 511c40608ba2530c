/** The call for which a target is chosen. */

import type {DataCentreId} from '../../identity/ids/index.js';
import type {WeightsVersionHistory} from '../../rollout/weights-version-history/index.js';
import type {FleetTarget} from '../fleet-target/index.js';

/** What is known of a call and of the targets for its next attempt. */
export type TargetQuery = {
	/** Targets that accept new calls. */
	readonly targets: readonly FleetTarget[];
	/** Targets that this call has already been sent to. */
	readonly excluded: ReadonlySet<FleetTarget>;
	readonly model: string | undefined;
	/** Weights versions announced for the model; undefined when there are none. */
	readonly versionHistory: WeightsVersionHistory | undefined;
	/** Longest prefix of the prompt that other calls share; undefined when it is too short to matter. */
	readonly sharedPrefix: SharedPrefix | undefined;
	/** Targets that probably have the shared prefix cached for their current weights. */
	readonly holders: ReadonlySet<FleetTarget>;
	/** Prompt tokens beyond the shared prefix that calls with it bring to all targets in a second; 0 when that is unknown. */
	readonly promptTokensPerSecond?: number;
	/** Memory that the call needs and that an engine has; undefined for services without engines. */
	readonly memory: MemoryDemand | undefined;
	/** Data centre of this instance. */
	readonly dataCentre: DataCentreId;
	/** Random number in [0, 1). */
	readonly draw: number;
};

/** A prompt prefix that several calls share, with its length. */
export type SharedPrefix = {readonly id: string; readonly tokens: number};

/** Memory of one call and of one engine, in tokens. */
export type MemoryDemand = {readonly callTokens: number; readonly engineTokens: number};
