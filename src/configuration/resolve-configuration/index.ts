/** Resolves resources that are expected to be valid. */

import {formatProblem} from '../../names/resource-problem/index.js';
import type {Resource} from '../../resources/schemas/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';
import type {ConfigurationData} from '../configuration/index.js';
import {resolveResources} from '../resolve-resources/index.js';

/** Resolves `resources`; throws `nameCollision` or `configurationInvalid` with resource, field and reason. */
export function resolveConfiguration(resources: readonly Resource[]): ConfigurationData {
	const {data, problems} = resolveResources(resources);
	const [first] = problems;
	if (first !== undefined) {
		throw createRouterError(first.code, problems.map(problem => formatProblem(problem)).join('; '));
	}

	return data;
}
