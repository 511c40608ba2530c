/** Resolves resources that are expected to be valid. */

import {formatProblem} from '../../names/resource-problem/index.js';
import type {Resource} from '../../resources/schemas/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';
import type {ConfigurationData} from '../configuration/index.js';
import {resolveResources} from '../resolve-resources/index.js';

/** Resolves `resources`. Throws `nameCollision` or `configurationInvalid` with the resource, field and reason of each problem. */
export function resolveConfiguration(resources: readonly Resource[]): ConfigurationData {
	const {data, problems} = resolveResources(resources);
	const [firstProblem] = problems;
	if (firstProblem !== undefined) {
		throw createRouterError(firstProblem.code, problems.map(problem => formatProblem(problem)).join('; '));
	}

	return data;
}
