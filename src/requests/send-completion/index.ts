/** Sends a completion to an engine and yields its checked chunks. */

import {randomUUID} from 'node:crypto';
import type {OrganisationId, RequestId, TargetId} from '../../identity/ids/index.js';
import type {ResolvedModel} from '../../configuration/configuration/index.js';
import {createRouterError, RouterError} from '../../results/create-router-error/index.js';
import type {EngineSlot} from '../../fairness/engine-gate/index.js';
import {estimateTokens, hashPrompt} from '../../placement/hash-prompt/index.js';
import type {EngineAnswer, EngineChunk} from '../../targets/engine-client/index.js';
import type {EngineMonitor} from '../../targets/engine-monitor/index.js';
import type {CompletionRequest} from '../parse-completion-request/index.js';
import type {RouterContext} from '../router-context/index.js';

/** A completion on its way. */
export type CompletionCall = {
	readonly request: CompletionRequest;
	readonly model: ResolvedModel;
	readonly organisation: OrganisationId;
	readonly signal: AbortSignal;
};

const maximumAttempts = 3;

/** Yields the answer's chunks in order, the end marker last; fails with a `RouterError` otherwise. */
export async function * sendCompletion(context: RouterContext, call: CompletionCall): AsyncGenerator<EngineChunk> {
	const excluded = new Set<TargetId>();
	for (let attempt = 1; ; attempt += 1) {
		const slot = await acquireEngine(context, call, excluded);
		const {engine} = slot;
		let sentChunks = 0;
		try {
			engine.ownInFlight += 1;
			const answer = await openAnswer(call, engine);
			for await (const chunk of answer.chunks) {
				checkChunk(chunk, sentChunks, answer.requestId);
				slot.noteFirstChunk();
				sentChunks += 1;
				yield chunk;
			}

			return;
		} catch (error) {
			// Once a chunk was passed on, another generation must not be spliced into the answer.
			if (!(error instanceof RouterError) || sentChunks > 0 || attempt === maximumAttempts || call.signal.aborted) {
				throw error;
			}

			engine.markFailed();
			excluded.add(engine.target.id);
		} finally {
			engine.ownInFlight -= 1;
			slot.release();
		}
	}
}

/** Cache salt of an organisation, as engines see it. */
export function formatCacheSalt(organisation: OrganisationId): string {
	return `organisation:${organisation}`;
}

/** Waits until an engine has room for the call. */
async function acquireEngine(context: RouterContext, call: CompletionCall, excluded: ReadonlySet<TargetId>): Promise<EngineSlot> {
	const {model, organisation, request, signal} = call;
	const scope = {
		salt: formatCacheSalt(organisation), base: model.base, adapter: model.adapter, weightsVersion: model.weightsVersion,
	};
	return context.gate.acquire({
		model,
		organisation,
		weight: context.readConfiguration().findOrganisation(organisation)?.weight ?? 1,
		blocks: hashPrompt(scope, request.promptText),
		promptTokens: estimateTokens(request.promptText),
		maximumTokens: request.maximumTokens,
		excluded,
		signal,
		listCandidates: () => context.readConfiguration().listEngines(model.id)
			.map(target => context.targets.find(target.id))
			.filter(monitor => monitor?.canServe(model, context.clock.readMonotonic())) as EngineMonitor[],
	});
}

async function openAnswer(call: CompletionCall, engine: EngineMonitor): Promise<EngineAnswer> {
	const {model, adapter} = {model: call.model.base, adapter: call.model.adapter};
	const {max_completion_tokens: _, ...body} = call.request.body;
	return engine.client.complete({
		requestId: randomUUID() as RequestId,
		path: call.request.path,
		body: {
			...body, model, ...(adapter !== undefined && {adapter}),
			max_tokens: call.request.maximumTokens, cache_salt: formatCacheSalt(call.organisation),
		},
		expectedWeightsVersion: call.model.weightsVersion,
	}, call.signal);
}

function checkChunk(chunk: EngineChunk, expectedOffset: number, requestId: RequestId): void {
	if (chunk.offset !== expectedOffset) {
		throw createRouterError('streamBroken', `expected chunk ${expectedOffset} and got ${chunk.offset}`);
	}

	if (!chunk.isEnd && !chunk.data.includes(requestId)) {
		throw createRouterError('answerMismatch', `chunk ${chunk.offset} does not carry ${requestId}`);
	}
}
