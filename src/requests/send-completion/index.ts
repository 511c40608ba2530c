/** Chooses an engine for a completion and builds the request to that engine. */

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

/** An authorised completion request with its resolved model and organisation. */
export type ResolvedCompletion = {
	readonly request: CompletionRequest;
	readonly model: ResolvedModel;
	readonly organisation: OrganisationId;
};

/** Options of `acquireEngine`. */
export type AcquireEngineOptions = {
	/** Engines at which an earlier attempt of this request failed. */
	readonly excluded: ReadonlySet<TargetId>;
	/** Aborts when the caller disconnects or the deadline passes. */
	readonly signal: AbortSignal;
};

/** A slot at an engine with free capacity, and the engine's incarnation that the choice is based on. */
export type AcquiredEngine = {readonly slot: EngineSlot; readonly expectedIncarnation: Incarnation | undefined};

/** Formats the cache salt that engines use for an organisation's requests. */
export function formatCacheSalt(organisation: OrganisationId): string {
	return `organisation:${organisation}`;
}

/**
 * Waits until an engine has capacity for the request. Rejects with `noTarget` or `overloaded`. Always returns the
 * expected incarnation, since filtering and placement rely on the state and cache of that incarnation.
 */
export async function acquireEngine(context: RouterContext, completion: ResolvedCompletion, options: AcquireEngineOptions): Promise<AcquiredEngine> {
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
		...options,
		listCandidates: () => listCandidates(context, model),
		hasUnpolledEngines: () => listMonitors(context, model).some(monitor => !monitor.hasBeenPolled),
	});
	return {slot, expectedIncarnation: slot.incarnation};
}

/** Returns the model with the weights version to use, based on what the model's engines report. */
export function chooseWeightsVersion(context: RouterContext, declared: ResolvedModel): ResolvedModel {
	return chooseServedModel(declared, listMonitors(context, declared), context.clock.readMonotonic());
}

/** Whether another engine than `engine` can serve the model. */
export function hasOtherEngine(context: RouterContext, model: ResolvedModel, engine: EngineMonitor): boolean {
	return listCandidates(context, model).some(candidate => candidate !== engine);
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

/** Builds the request to the engine from the caller's body, with the engine's model names. The response is always streamed and includes usage. */
export function createEngineRequest(completion: ResolvedCompletion, requestId: RequestId, expectedIncarnation: Incarnation | undefined): EngineRequest {
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
