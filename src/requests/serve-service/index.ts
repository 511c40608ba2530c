/** Serves calls to plain services by path prefix. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {pipeline} from 'node:stream/promises';
import {request as sendRequest, Client} from 'undici';
import {readBody} from '../../http/read-body/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';
import type {ResolvedRoute, ResolvedTarget} from '../../configuration/configuration/index.js';
import {authenticateCaller, extractSecret} from '../authenticate-caller/index.js';
import {filterAnswerHeaders, filterHeaders} from '../filter-secrets/index.js';
import type {RouterContext} from '../router-context/index.js';

const connectTimeoutMs = 1000;
const notSentCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH']);

/** Serves one call of a plain service. */
export async function serveService(context: RouterContext, message: IncomingMessage, response: ServerResponse): Promise<void> {
	const path = new URL(message.url ?? '/', 'http://localhost').pathname;
	const configuration = context.readConfiguration();
	const secret = extractSecret(message.headers);
	const key = secret === undefined ? undefined : authenticateCaller(configuration, secret);
	const route = configuration.findServiceRoute(path, key?.fleet);
	if (route === undefined) {
		throw createRouterError('notFound', path);
	}

	if (route.access === 'keyed' && key === undefined) {
		throw createRouterError('unauthenticated', 'no bearer key was sent');
	}

	const body = await readBody(message, context.settings.limits.bodyBytes);
	const targets = configuration.listServiceTargets(route.service ?? '').filter(target => target.state === 'live');
	await forwardCall(route, targets, {message, body, secret}, response);
}

type ServiceCall = {readonly message: IncomingMessage; readonly body: Buffer; readonly secret: string | undefined};

async function forwardCall(route: ResolvedRoute, targets: readonly ResolvedTarget[], call: ServiceCall, response: ServerResponse): Promise<void> {
	const start = Math.floor(Math.random() * Math.max(1, targets.length));
	for (let index = 0; index < targets.length; index += 1) {
		const target = targets[(start + index) % targets.length]!;
		try {
			await forwardTo(target, route, call, response);
			return;
		} catch (error) {
			const {code, message} = error as {code?: string; message: string};
			if (response.headersSent || code === undefined || !notSentCodes.has(code)) {
				throw createRouterError('outcomeUnknown', message, {cause: error as Error});
			}
		}
	}

	throw createRouterError('noTarget', `service ${route.service ?? ''}`);
}

/** Sends the call on a connection of its own, so that no reused connection can swallow it. */
async function forwardTo(target: ResolvedTarget, route: ResolvedRoute, call: ServiceCall, response: ServerResponse): Promise<void> {
	const origin = `http://${target.address}`;
	const client = new Client(origin, {connect: {timeout: connectTimeoutMs}, headersTimeout: route.timeoutMs, bodyTimeout: route.timeoutMs});
	try {
		const answer = await sendRequest(origin + (call.message.url ?? '/'), {
			method: (call.message.method ?? 'GET') as 'GET',
			headers: filterHeaders(call.message.headers, value => call.secret !== undefined && value.includes(call.secret)),
			body: call.body.length === 0 ? undefined : call.body,
			dispatcher: client,
		});
		response.writeHead(answer.statusCode, filterAnswerHeaders(answer.headers));
		await pipeline(answer.body, response);
	} finally {
		await client.destroy();
	}
}
