/** Interface of the strategies that choose an engine for a request. */

import type {
	BlockKey, MonotonicMs, OrganisationId, TargetId,
} from '../../identity/ids/index.js';
import type {ResolvedModel} from '../../configuration/configuration/index.js';
import type {EngineMonitor} from '../../targets/engine-monitor/index.js';

/** A request to be placed. */
export type PlacementQuery = {
	readonly model: ResolvedModel;
	readonly organisation: OrganisationId;
	/** Keys of the prompt's full pieces, shortest prefix first. */
	readonly blocks: readonly BlockKey[];
	readonly promptTokens: number;
	/** Engines that may serve the request now. */
	readonly candidates: readonly EngineMonitor[];
	/** Engines that have already failed this request. */
	readonly excluded: ReadonlySet<TargetId>;
	/** Candidates whose backlog has reached its limit. A request placed on one of them waits in the queue. */
	readonly full?: ReadonlySet<EngineMonitor>;
	/** Time that the request has spent in the queue so far, in milliseconds. */
	readonly waitedMs?: number;
};

/** Placement strategy. */
export type Placement = {
	/** Chooses an engine. Returns undefined if no candidate is left. */
	choose(query: PlacementQuery, now: MonotonicMs): EngineMonitor | undefined;
	/** Records that a request was sent to `engine`, whose cache will hold its blocks soon. */
	recordSent(query: PlacementQuery, engine: EngineMonitor, now: MonotonicMs): void;
};

/** Lists the candidates that have not failed this request. */
export function listCandidates(query: PlacementQuery): EngineMonitor[] {
	return query.candidates.filter(engine => !query.excluded.has(engine.target.id));
}

/** Formats what a cache entry must match to count for the query, in addition to the engine's incarnation. */
export function formatQueryScope(query: Pick<PlacementQuery, 'model' | 'organisation'>): string {
	const {model, organisation} = query;
	return JSON.stringify([organisation, model.base, model.adapter ?? null, model.weightsVersion]);
}
