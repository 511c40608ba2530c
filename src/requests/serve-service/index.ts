/** Serves calls of services, which are routed by path prefix. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {CallerWatch} from '../../http/watch-caller/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';
import type {Configuration, ResolvedKey, ResolvedRoute} from '../../configuration/configuration/index.js';
import {authenticateCaller, extractSecret} from '../authenticate-caller/index.js';
import {
	createSecretMatcher, filterHeaders, filterPath, refuseSecretBytes,
} from '../filter-secrets/index.js';
import {forwardCall, isRepeatableCall, type ServiceCall} from '../forward-call/index.js';
import {confirmCaller, openCallSignal} from '../open-call-signal/index.js';
import {readCallBody} from '../read-call-body/index.js';
import {readServiceBody} from '../read-service-body/index.js';
import {extractIdempotencyKey, serveIdempotentCall} from '../serve-idempotent-call/index.js';
import type {RouterContext} from '../router-context/index.js';
import {writeServiceResponse} from '../write-service-response/index.js';

export async function serveService(context: RouterContext, message: IncomingMessage, response: ServerResponse): Promise<void> {
	const caller = new CallerWatch(response);
	const signal = openCallSignal(message, response);
	const secret = extractSecret(message.headers);
	const path = new URL(message.url ?? '/', 'http://localhost').pathname;
	const idempotencyKey = extractIdempotencyKey(message);
	const {route, key} = authoriseCall(context.readConfiguration(), path, secret);
	const body = await readCallBody(context, message, response);
	refuseSecretBytes(body, message.headers['content-type'], secret);
	await confirmCaller(caller, signal);
	const call = createCall(context, {
		message, body, route, path, secret, signal,
	});
	if (idempotencyKey !== undefined) {
		if (key === undefined) {
			throw createRouterError('malformedRequest', 'an idempotency key requires an API key, since callers without one cannot be distinguished');
		}

		await serveIdempotentCall(context, call, {organisation: key.organisation, key: idempotencyKey}, response);
		return;
	}

	const serviceResponse = await forwardCall(context, call);
	await writeServiceResponse(response, serviceResponse, readServiceBody(serviceResponse));
}

type CallSource = {
	readonly message: IncomingMessage;
	readonly body: Buffer;
	readonly route: ResolvedRoute;
	readonly path: string;
	readonly secret: string | undefined;
	readonly signal: AbortSignal;
};

function createCall(context: RouterContext, source: CallSource): ServiceCall {
	const {message, route, secret} = source;
	const configuration = context.readConfiguration();
	const isSecret = createSecretMatcher(configuration, secret);
	const method = message.method ?? 'GET';
	const call: ServiceCall = {
		route, method,
		path: filterPath(message.url ?? '/', isSecret),
		headers: filterHeaders(message.headers, isSecret),
		body: source.body,
		isRepeatable: isRepeatableCall(route, method),
		signal: source.signal,
		listTargets() {
			const currentConfiguration = context.readConfiguration();
			const currentRoute = authoriseCall(currentConfiguration, source.path, secret).route;
			return currentConfiguration.listServiceTargets(currentRoute.service ?? '')
				.filter(target => target.state === 'live' && !context.targets.leaving.has(target.address));
		},
	};
	const hasNoSecret = secret === undefined || !(call.path + JSON.stringify(call.headers)).includes(secret);
	if (!context.metrics.checkInvariant('noSecretInOutgoingBytes', hasNoSecret)) {
		throw createRouterError('internalError', 'the outgoing request contains the caller\'s API key');
	}

	return call;
}

/** Finds the route of a call and authenticates its caller. Called again before each attempt, since the configuration may have changed. */
function authoriseCall(configuration: Configuration, path: string, secret: string | undefined): {route: ResolvedRoute; key: ResolvedKey | undefined} {
	const key = secret === undefined ? undefined : authenticateCaller(configuration, secret);
	const route = configuration.findServiceRoute(path, key?.fleet);
	if (route === undefined) {
		throw createRouterError('notFound', path);
	}

	if (route.access === 'keyed' && key === undefined) {
		throw createRouterError('unauthenticated', 'no bearer key was sent');
	}

	return {route, key};
}
