/** Validates one resource against the schema of its kind. */

import type {z} from 'zod';
import {schemaByKind, type Resource, type ResourceKind} from '../schemas/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';

/** Parses a resource. Throws `configurationInvalid` with the field and reason of each issue. */
export function parseResource(value: unknown): Resource {
	const kind = (value as {kind?: unknown} | undefined)?.kind;
	const schema = Object.hasOwn(schemaByKind, String(kind)) ? schemaByKind[kind as ResourceKind] : undefined;
	if (schema === undefined) {
		throw createRouterError('configurationInvalid', `kind: "${String(kind)}" is not one of ${Object.keys(schemaByKind).join(', ')}`);
	}

	const result = schema.safeParse(value);
	if (!result.success) {
		throw createRouterError('configurationInvalid', formatIssues(result.error));
	}

	return result.data;
}

/** Formats the issues of a schema error as `field: reason`, separated by semicolons. */
export function formatIssues(error: z.ZodError): string {
	return error.issues.map(issue => `${issue.path.join('.') || '(whole)'}: ${issue.message}`).join('; ');
}
