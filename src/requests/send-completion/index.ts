/** Chooses the engine of a completion and builds the request to it. */

import type {
	Incarnation, OrganisationId, RequestId, TargetId,
} from '../../identity/ids/index.js';
import type {ResolvedModel} from '../../configuration/configuration/index.js';
import type {EngineSlot} from '../../fairness/engine-gate/index.js';
import {estimateTokens, hashPrompt} from '../../placement/hash-prompt/index.js';
import type {EngineRequest} from '../../targets/engine-client/index.js';
import type {EngineMonitor} from '../../targets/engine-monitor/index.js';
import type {CompletionRequest} from '../parse-completion-request/index.js';
import {chooseServedModel} from '../../targets/choose-served-model/index.js';
import type {RouterContext} from '../router-context/index.js';

/** A completion that was authorised. */
export type PlacedCompletion = {
	readonly request: CompletionRequest;
	readonly model: ResolvedModel;
	readonly organisation: OrganisationId;
};

/** How to wait for an engine. */
export type EngineWait = {
	/** Engines that failed the request before. */
	readonly excluded: ReadonlySet<TargetId>;
	/** Aborts when the caller has gone or the deadline has passed. */
	readonly signal: AbortSignal;
};

/** An engine with room, and the incarnation on whose state the choice relied. */
export type AcquiredEngine = {readonly slot: EngineSlot; readonly expectedIncarnation: Incarnation | undefined};

/** Cache salt of an organisation, as engines see it. */
export function formatCacheSalt(organisation: OrganisationId): string {
	return `organisation:${organisation}`;
}

/**
 * Waits until an engine has room for the request; rejects with `noTarget` or `overloaded`. The expected incarnation
 * is always named: candidates are filtered by the state, and placed by the cache, of that incarnation.
 */
export async function acquireEngine(context: RouterContext, completion: PlacedCompletion, wait: EngineWait): Promise<AcquiredEngine> {
	const {model, organisation, request} = completion;
	const scope = {
		salt: formatCacheSalt(organisation), base: model.base, adapter: model.adapter, weightsVersion: model.weightsVersion,
	};
	const slot = await context.gate.acquire({
		model,
		organisation,
		weight: context.readConfiguration().findOrganisation(organisation)?.weight ?? 1,
		blocks: hashPrompt(scope, request.promptText),
		promptTokens: estimateTokens(request.promptText),
		maximumTokens: request.maximumTokens,
		...wait,
		listCandidates: () => listCandidates(context, model),
		isUndecided: () => listMonitors(context, model).some(monitor => !monitor.hasBeenAsked),
	});
	return {slot, expectedIncarnation: slot.incarnation};
}

/** Chooses the weights version for a request by what the model's engines report. */
export function chooseModel(context: RouterContext, declared: ResolvedModel): ResolvedModel {
	return chooseServedModel(declared, listMonitors(context, declared), context.clock.readMonotonic());
}

function listCandidates(context: RouterContext, model: ResolvedModel): EngineMonitor[] {
	const now = context.clock.readMonotonic();
	return listMonitors(context, model).filter(monitor => monitor.canServe(model, now));
}

function listMonitors(context: RouterContext, model: ResolvedModel): EngineMonitor[] {
	return context.readConfiguration().listEngines(model.id)
		.map(target => context.targets.find(target.id))
		.filter(monitor => monitor !== undefined);
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
