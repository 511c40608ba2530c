/** Serves `POST /v1/completions` and `POST /v1/chat/completions`. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {readJsonBody} from '../../http/read-body/index.js';
import {createRouterError, formatErrorBody, convertToRouterError} from '../../results/create-router-error/index.js';
import {estimateTokens} from '../../placement/hash-prompt/index.js';
import type {Configuration, ResolvedModel, ResolvedOrganisation} from '../../configuration/configuration/index.js';
import type {FleetId, OrganisationId} from '../../identity/ids/index.js';
import {authenticateCaller, extractSecret} from '../authenticate-caller/index.js';
import {CompletionExchange, type CompletionCall} from '../completion-exchange/index.js';
import {refuseSecrets} from '../filter-secrets/index.js';
import {checkSignal, openCallSignal} from '../open-call-signal/index.js';
import {parseCompletionRequest, type CompletionRequest} from '../parse-completion-request/index.js';
import type {RouterContext} from '../router-context/index.js';
import {createAnswerIdentity, StreamSink, WholeSink} from '../write-completion/index.js';

/** Longest wait for tokens on the way, in milliseconds. */
const budgetWaitMs = 500;

/** The organisation under which callers of open routes run; its cache entries are shared with nobody else. */
export const openOrganisation = 'open' as OrganisationId;

/** Serves one completion request. Rejects with a `RouterError` while nothing was sent to the caller. */
export async function serveCompletion(context: RouterContext, path: CompletionRequest['path'], message: IncomingMessage, response: ServerResponse): Promise<void> {
	const signal = openCallSignal(message, response);
	const secret = extractSecret(message.headers);
	authenticateEarly(context, secret);
	const body = await readJsonBody(message, context.settings.limits.bodyBytes);
	refuseSecrets(body, secret);
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
		context.retryBudget.noteRequest();
		usedTokens = await answerCompletion(context, response, {
			request, signal, secret,
			authorise() {
				const authorised = authorise();
				return {model: authorised.model, organisation: authorised.organisation?.id ?? openOrganisation};
			},
		});
	} finally {
		admission?.settle(usedTokens);
	}
}

/** Runs the exchange and ends the answer; returns the tokens used. */
async function answerCompletion(context: RouterContext, response: ServerResponse, call: CompletionCall): Promise<number> {
	const {request} = call;
	const identity = createAnswerIdentity(request, context.clock.readWall());
	const sink = request.isStreamed
		? new StreamSink({
			response, identity, metrics: context.metrics, includesUsage: request.includesUsage, stallMs: context.settings.limits.receiveTimeoutMs,
		})
		: new WholeSink();
	const exchange = new CompletionExchange(context, call, sink);
	const countTokens = () => {
		const promptTokens = exchange.mayHaveRun ? estimateTokens(request.promptText) : 0;
		return promptTokens + Math.min(sink.usage?.completion_tokens ?? sink.generated, request.maximumTokens);
	};

	try {
		await exchange.run();
		sink.end(response, identity);
	} catch (error) {
		endBrokenAnswer(response, error);
		context.metrics.brokenStreams.inc({result: convertToRouterError(error).entry.name});
	}

	return countTokens();
}

/** Refuses an unknown key before the body is read, so that strangers cannot make the router hold large bodies. */
function authenticateEarly(context: RouterContext, secret: string | undefined): void {
	if (secret !== undefined) {
		authenticateCaller(context.readConfiguration(), secret);
	}
}

/** Model and organisation of a request; an open route has no organisation. */
export type AuthorisedCompletion = {readonly model: ResolvedModel; readonly organisation: ResolvedOrganisation | undefined};

/** Finds model and organisation of a request; without a key only models of open routes are found. */
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

/** After the first byte an error can only be shown inside the stream, which then lacks its end marker. */
function endBrokenAnswer(response: ServerResponse, error: unknown): void {
	if (!response.headersSent) {
		throw error;
	}

	if (!response.destroyed) {
		response.end(`data: ${JSON.stringify(formatErrorBody(convertToRouterError(error)))}\n\n`);
	}
}
