/**
 * Schemas of the resources that operators write. Each kind has its own collection in the object
 * API. An object is named `fleet.name`, or `kind.name` for a name policy.
 */

import {z} from 'zod';

const nameSchema = z.string().regex(/^[a-z\d]([a-z\d-]{0,61}[a-z\d])?$/u, 'must be lower-case letters, digits and inner hyphens, 63 characters at most');
const fleetSchema = nameSchema;
/** Upper limit of `tokensPerSecond` and `burstTokens`. */
const maximumBudgetTokens = 1e9;

/** An organisation with its token rate and burst, which apply to the merged fleet as a whole. */
export const organisationSchema = z.strictObject({
	kind: z.literal('Organisation'),
	fleet: fleetSchema,
	name: nameSchema,
	tokensPerSecond: z.number().positive().max(maximumBudgetTokens),
	burstTokens: z.number().positive().max(maximumBudgetTokens),
	/** Share of the capacity under overload, relative to other organisations. */
	weight: z.number().positive().max(1000).default(1),
});

/** A caller's API key. Only the hash of its secret is stored. */
export const keySchema = z.strictObject({
	kind: z.literal('Key'),
	fleet: fleetSchema,
	name: nameSchema,
	organisation: nameSchema,
	sha256: z.string().regex(/^[\da-f]{64}$/u, 'must be a lower-case hex SHA-256'),
	state: z.enum(['active', 'withdrawn']).default('active'),
});

/** A model under the name that callers use, with the weights that serve it. */
export const modelSchema = z.strictObject({
	kind: z.literal('Model'),
	fleet: fleetSchema,
	name: nameSchema,
	/** Name of the base model on the engines. */
	base: z.string().min(1).max(200),
	adapter: z.string().min(1).max(200).optional(),
	weightsVersion: z.string().min(1).max(100),
	/** Whether equal requests always yield equal answers, so that a broken stream may be generated again. */
	deterministic: z.boolean().default(false),
});

/** A path prefix that leads to a plain service, or a model that open callers may use. */
export const routeSchema = z.strictObject({
	kind: z.literal('Route'),
	fleet: fleetSchema,
	name: nameSchema,
	access: z.enum(['open', 'keyed']).default('keyed'),
	/** Path prefix for a service route. */
	pathPrefix: z.string().regex(/^\/[\w\-/.]*$/u).optional(),
	service: nameSchema.optional(),
	model: nameSchema.optional(),
	/** Whether a call may be retried: if its HTTP method is idempotent, always, or never. */
	repeatable: z.enum(['byMethod', 'always', 'never']).default('byMethod'),
	/** Longest time for which the target may send no data, in milliseconds. */
	timeoutMs: z.number().int().positive().max(600_000).default(30_000),
}).refine(route => (route.service === undefined) !== (route.model === undefined), 'must name either a service or a model')
	.refine(route => route.service === undefined || route.pathPrefix !== undefined, 'a route to a service needs pathPrefix');

/** A backend: a model engine or a worker of a plain service. */
export const targetSchema = z.strictObject({
	kind: z.literal('Target'),
	fleet: fleetSchema,
	name: nameSchema,
	dataCentre: nameSchema,
	type: z.enum(['engine', 'service']),
	/** `host:port`. */
	address: z.string().regex(/^[\w.\-[\]:]+:\d{1,5}$/u, 'must be host:port'),
	service: nameSchema.optional(),
	/** Models that the engine has to serve, by their names within the fleet. */
	models: z.array(nameSchema).max(100).default([]),
	/** Whether the target refuses orders with an outdated fencing number. */
	checksFencing: z.boolean().default(false),
	role: z.enum(['mixed', 'prefill', 'decode']).default('mixed'),
	state: z.enum(['live', 'leaving']).default('live'),
}).refine(target => target.type === 'engine' || target.service !== undefined, 'a service target needs service');

/** Policy for a name that several fleets use: keep the fleets' resources apart or join them. */
export const namePolicySchema = z.strictObject({
	kind: z.literal('NamePolicy'),
	name: nameSchema,
	appliesTo: z.enum(['Organisation', 'Model', 'Route', 'Target', 'Service']),
	mode: z.enum(['keepApart', 'join']),
	/** Token rate, burst and weight of a joined organisation. */
	tokensPerSecond: z.number().positive().max(maximumBudgetTokens).optional(),
	burstTokens: z.number().positive().max(maximumBudgetTokens).optional(),
	weight: z.number().positive().max(1000).optional(),
});

/** Any resource. */
export const resourceSchema = z.union([organisationSchema, keySchema, modelSchema, routeSchema, targetSchema, namePolicySchema]);

export type OrganisationResource = z.infer<typeof organisationSchema>;
export type KeyResource = z.infer<typeof keySchema>;
export type ModelResource = z.infer<typeof modelSchema>;
export type RouteResource = z.infer<typeof routeSchema>;
export type TargetResource = z.infer<typeof targetSchema>;
export type NamePolicyResource = z.infer<typeof namePolicySchema>;
export type Resource = z.infer<typeof resourceSchema>;
export type ResourceKind = Resource['kind'];

/** Collection of the object API that holds each kind. */
export const collectionByKind: Readonly<Record<ResourceKind, string>> = {
	Organisation: 'organisations',
	Key: 'keys',
	Model: 'models',
	Route: 'routes',
	Target: 'targets',
	NamePolicy: 'namepolicies',
};

/** Schema of each kind. */
export const schemaByKind = {
	Organisation: organisationSchema,
	Key: keySchema,
	Model: modelSchema,
	Route: routeSchema,
	Target: targetSchema,
	NamePolicy: namePolicySchema,
} as const;

/** Formats the name of the resource's object in its collection. */
export function formatObjectName(resource: Resource): string {
	return resource.kind === 'NamePolicy' ? `${resource.appliesTo.toLowerCase()}.${resource.name}` : `${resource.fleet}.${resource.name}`;
}
