/** Serves the list of models and single models. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {sendJson} from '../../http/send-json/index.js';
import type {ResolvedModel} from '../../configuration/configuration/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';
import {authenticateCaller, extractSecret} from '../authenticate-caller/index.js';
import type {RouterContext} from '../router-context/index.js';

/** Serves the list of the models that the caller's key may use. */
export function serveModels(context: RouterContext, message: IncomingMessage, response: ServerResponse): void {
	const configuration = context.readConfiguration();
	const key = authenticateCaller(configuration, extractSecret(message.headers));
	sendJson(response, 200, {object: 'list', data: configuration.listModels(key.fleet).map(model => formatModel(model))});
}

/** Serves the model called `name`. */
export function serveModel(context: RouterContext, name: string, message: IncomingMessage, response: ServerResponse): void {
	const configuration = context.readConfiguration();
	const key = authenticateCaller(configuration, extractSecret(message.headers));
	const model = configuration.findModel(name, key.fleet);
	if (model === undefined) {
		throw createRouterError('notFound', `model "${name}"`);
	}

	sendJson(response, 200, formatModel(model));
}

function formatModel(model: ResolvedModel): unknown {
	return {
		id: model.name, object: 'model', created: 0, owned_by: 'laburnumturn',
	};
}
