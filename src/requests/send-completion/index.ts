/** Chooses the engine of a completion and builds the request to it. */

import type {
	Incarnation, OrganisationId, RequestId, TargetId,
} from '../../identity/ids/index.js';
import type {ResolvedModel} from '../../configuration/configuration/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';
import {estimateTokens, hashPrompt} from '../../placement/hash-prompt/index.js';
import type {PlacementQuery} from '../../placement/placement/index.js';
import type {EngineRequest} from '../../targets/engine-client/index.js';
import type {EngineMonitor} from '../../targets/engine-monitor/index.js';
import type {CompletionRequest} from '../parse-completion-request/index.js';
import type {RouterContext} from '../router-context/index.js';

/** A completion that was authorised. */
export type PlacedCompletion = {
	readonly request: CompletionRequest;
	readonly model: ResolvedModel;
	readonly organisation: OrganisationId;
};

/** An engine, and the incarnation on whose state the choice relied. */
export type ChosenEngine = {readonly engine: EngineMonitor; readonly expectedIncarnation: Incarnation | undefined};

/** Cache salt of an organisation, as engines see it. */
export function formatCacheSalt(organisation: OrganisationId): string {
	return `organisation:${organisation}`;
}

/**
 * Chooses an engine outside `excluded`; throws `noTarget` when none is left. The expected incarnation is always
 * named: candidates are filtered by the state, and placed by the cache, of that incarnation.
 */
export function chooseEngine(context: RouterContext, completion: PlacedCompletion, excluded: ReadonlySet<TargetId>): ChosenEngine {
	const {model, request, organisation} = completion;
	const now = context.clock.readMonotonic();
	const candidates = context.readConfiguration().listEngines(model.id)
		.map(target => context.targets.find(target.id))
		.filter(monitor => monitor?.canServe(model, now)) as EngineMonitor[];
	const scope = {
		salt: formatCacheSalt(organisation), base: model.base, adapter: model.adapter, weightsVersion: model.weightsVersion,
	};
	const query: PlacementQuery = {
		model,
		organisation,
		blocks: hashPrompt(scope, request.promptText),
		promptTokens: estimateTokens(request.promptText),
		candidates,
		// An engine that failed once is better than none.
		excluded: candidates.every(engine => excluded.has(engine.target.id)) ? new Set() : excluded,
	};
	const engine = context.placement.choose(query, now);
	if (engine === undefined) {
		throw createRouterError('noTarget', `model ${model.id}`);
	}

	context.placement.noteSent(query, engine, now);
	return {engine, expectedIncarnation: engine.readState(now)?.incarnation};
}

/** Builds the request to the engine: the caller's body with the engine's names, always streamed and with usage. */
export function createEngineRequest(completion: PlacedCompletion, requestId: RequestId, expectedIncarnation: Incarnation | undefined): EngineRequest {
	const {request, model, organisation} = completion;
	const {max_completion_tokens: _, ...body} = request.body;
	return {
		requestId,
		path: request.path,
		body: {
			...body, model: model.base, ...(model.adapter !== undefined && {adapter: model.adapter}),
			stream_options: {include_usage: true}, max_tokens: request.maximumTokens, cache_salt: formatCacheSalt(organisation),
		},
		expectedIncarnation,
		expectedWeightsVersion: model.weightsVersion,
	};
}
