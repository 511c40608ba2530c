/**
 * Messages between instances about the limits and the brittleness of targets. They carry ages instead of times, since each instance has a
 * monotonic clock of its own, and the start of the target, since nothing has been stated of a restarted one.
 */

import {z} from 'zod';
import type {InstanceId, TargetId} from '../../identity/ids/index.js';

/** Message type of the datagrams. */
export const limitMessageType = 'targetLimits';
/** Maximum number of permits in one message. */
export const maximumPermitsPerAsk = 16;
const maximumIdLength = 200;

const id = z.string().min(1).max(maximumIdLength);
const age = z.number().nonnegative();
const count = z.number().int().min(1).max(maximumPermitsPerAsk);
const target = {target: id.transform(text => text as TargetId), startedAt: z.number()};

/** What a target states about its brittleness, `ageMs` ago. */
const brittleness = {refusalsPerSecond: z.number().nonnegative(), ageMs: age};

/**
 * `limit`, `brittle`: what the target states. `ended`, `brittleEnded`: it stated none in an answer to a call sent `ageMs` ago.
 * `refused`: the brittle target refused a request for want of room. `unused`: permits for a brittle target that are given back.
 *
 * Instances of earlier builds refuse messages of the types for brittle targets, and asks without a limit.
 */
const messageSchema = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('limit'), ...target, requestsPerSecond: z.number().nonnegative(), ageMs: age,
	}),
	z.object({type: z.literal('ended'), ...target, ageMs: age}),
	z.object({type: z.literal('brittle'), ...target, ...brittleness}),
	z.object({type: z.literal('brittleEnded'), ...target, ageMs: age}),
	z.object({type: z.literal('refused'), ...target}),
	z.object({type: z.literal('unused'), ...target, count}),
	z.object({
		type: z.literal('ask'), ...target, requestsPerSecond: z.number().nonnegative().optional(), ageMs: age.optional(), brittle: z.object(brittleness).optional(),
		asker: id.transform(text => text as InstanceId), number: z.number().int(), count,
	}),
	z.object({
		type: z.literal('grant'), ...target, number: z.number().int(), count,
	}),
	z.object({
		type: z.literal('queued'), ...target, number: z.number().int(), waitMs: age,
	}),
]);

/** A message about one target. */
export type LimitMessage = z.infer<typeof messageSchema>;

/** A message of one type. */
export type MessageOf<Type extends LimitMessage['type']> = Extract<LimitMessage, {type: Type}>;

/** Parses a message; throws if it is malformed. */
export function parseLimitMessage(body: unknown): LimitMessage {
	return messageSchema.parse(body);
}
