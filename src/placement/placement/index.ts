/** Choice of the engine for a request. */

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
	/** Engines that failed this request before. */
	readonly excluded: ReadonlySet<TargetId>;
	/** Candidates that have no room now; a request placed on one of them waits in the queue. */
	readonly full?: ReadonlySet<EngineMonitor>;
	/** How long the request has waited, in milliseconds. */
	readonly waitedMs?: number;
};

/** Strategy that places requests. */
export type Placement = {
	/** Chooses an engine, or nothing when no candidate is left. */
	choose(query: PlacementQuery, now: MonotonicMs): EngineMonitor | undefined;
	/** Notes that a request was sent, so that its blocks count as cached there soon. */
	noteSent(query: PlacementQuery, engine: EngineMonitor, now: MonotonicMs): void;
};

/** Lists the candidates that have not failed this request. */
export function listCandidates(query: PlacementQuery): EngineMonitor[] {
	return query.candidates.filter(engine => !query.excluded.has(engine.target.id));
}

/** What a cache entry must agree with, besides the engine's incarnation, to count for the query. */
export function formatQueryScope(query: Pick<PlacementQuery, 'model' | 'organisation'>): string {
	const {model, organisation} = query;
	return JSON.stringify([organisation, model.base, model.adapter ?? null, model.weightsVersion]);
}
