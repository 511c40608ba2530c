/** Serves `POST /v1/completions` and `POST /v1/chat/completions`. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {parseJsonBody} from '../../http/read-body/index.js';
import {CallerWatch} from '../../http/watch-caller/index.js';
import {createRouterError, formatErrorBody, convertToRouterError} from '../../results/create-router-error/index.js';
import {estimateTokens} from '../../placement/hash-prompt/index.js';
import type {Configuration, ResolvedModel, ResolvedOrganisation} from '../../configuration/configuration/index.js';
import type {FleetId, OrganisationId} from '../../identity/ids/index.js';
import {authenticateCaller, extractSecret} from '../authenticate-caller/index.js';
import {CompletionExchange, type CompletionCall} from '../completion-exchange/index.js';
import {refuseSecrets} from '../filter-secrets/index.js';
import {checkSignal, confirmCaller, openCallSignal} from '../open-call-signal/index.js';
import {parseCompletionRequest, type CompletionRequest} from '../parse-completion-request/index.js';
import {readCallBody} from '../read-call-body/index.js';
import type {RouterContext} from '../router-context/index.js';
import {createCompletionIdentity, StreamSink, BufferedSink} from '../write-completion/index.js';

/** Maximum wait for budget tokens that this instance has requested. */
const budgetWaitMs = 500;

/** Organisation of callers without a key on open routes. Its cached blocks are not shared with other organisations. */
export const openRouteOrganisation = 'open' as OrganisationId;

/** Serves one completion request. Rejects with a `RouterError` only if nothing was sent to the caller. */
export async function serveCompletion(context: RouterContext, path: CompletionRequest['path'], message: IncomingMessage, response: ServerResponse): Promise<void> {
	const caller = new CallerWatch(response);
	const signal = openCallSignal(message, response);
	const secret = extractSecret(message.headers);
	rejectUnknownKey(context, secret);
	const body = parseJsonBody(await readCallBody(context, message, response));
	refuseSecrets(body, secret);
	await confirmCaller(caller, signal);
	const request = parseCompletionRequest(path, body);
	const authorise = () => authoriseCompletion(context.readConfiguration(), request.modelName, secret);
	const {organisation} = authorise();
	const promptTokens = estimateTokens(request.promptText);
	const admission = organisation === undefined
		? undefined
		: await context.budget.admit(organisation, promptTokens + request.maximumTokens, budgetWaitMs);
	let usedTokens = 0;
	try {
		checkSignal(signal);
		usedTokens = await runCompletion(context, response, {
			request, signal, secret,
			authorise() {
				const authorised = authorise();
				return {model: authorised.model, organisation: authorised.organisation?.id ?? openRouteOrganisation};
			},
		});
	} finally {
		admission?.settle(usedTokens);
	}
}

/** Runs the exchange and ends the response. Returns the number of tokens used. */
async function runCompletion(context: RouterContext, response: ServerResponse, call: CompletionCall): Promise<number> {
	const {request} = call;
	const identity = createCompletionIdentity(request, context.clock.readWall());
	const sink = request.isStreamed
		? new StreamSink({
			response, identity, metrics: context.metrics, includesUsage: request.includesUsage, stallTimeoutMs: context.settings.limits.receiveTimeoutMs,
		})
		: new BufferedSink();
	const exchange = new CompletionExchange(context, call, sink);
	const countUsedTokens = () => {
		const promptTokens = exchange.mayHaveRun ? estimateTokens(request.promptText) : 0;
		return promptTokens + Math.min(sink.usage?.completion_tokens ?? sink.generatedChunkCount, request.maximumTokens);
	};

	try {
		await exchange.run();
		sink.end(response, identity);
	} catch (error) {
		endBrokenResponse(response, error);
		context.metrics.brokenStreams.inc({result: convertToRouterError(error).entry.name});
	}

	return countUsedTokens();
}

/** Rejects an unknown key before the body is read, so that unauthenticated callers cannot make the router buffer large bodies. */
function rejectUnknownKey(context: RouterContext, secret: string | undefined): void {
	if (secret !== undefined) {
		authenticateCaller(context.readConfiguration(), secret);
	}
}

/** Model and organisation of a request; an open route has no organisation. */
export type AuthorisedCompletion = {readonly model: ResolvedModel; readonly organisation: ResolvedOrganisation | undefined};

/** Finds the model and organisation of a request. Without a key, finds only models of open routes. */
export function authoriseCompletion(configuration: Configuration, modelName: string, secret: string | undefined): AuthorisedCompletion {
	if (secret === undefined) {
		const openModel = configuration.data.models
			.filter(model => model.name === modelName || model.id === modelName)
			.find(model => configuration.findOpenModelRoute(model.id) !== undefined);
		if (openModel === undefined) {
			throw createRouterError('unauthenticated', 'no bearer key was sent');
		}

		return {model: openModel, organisation: undefined};
	}

	const key = authenticateCaller(configuration, secret);
	const model = findNamedModel(configuration, modelName, key.fleet);
	const organisation = configuration.findOrganisation(key.organisation);
	if (organisation === undefined) {
		throw createRouterError('unauthenticated', 'the organisation of the key no longer exists');
	}

	return {model, organisation};
}

function findNamedModel(configuration: Configuration, name: string, fleet: FleetId): ResolvedModel {
	const model = configuration.findModel(name, fleet);
	if (model === undefined) {
		throw createRouterError('notFound', `model "${name}"`);
	}

	return model;
}

/** Ends a failed response. Once headers are sent, an error can only be reported within the stream, which then ends without an end marker. */
function endBrokenResponse(response: ServerResponse, error: unknown): void {
	if (!response.headersSent) {
		throw error;
	}

	if (!response.destroyed) {
		response.end(`data: ${JSON.stringify(formatErrorBody(convertToRouterError(error)))}\n\n`);
	}
}
