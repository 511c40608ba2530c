/**
 * Messages between instances about the limits of targets. They carry ages instead of times, since each instance has a
 * monotonic clock of its own, and the start of the target, since a restarted one has no limit until it states one.
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

/** `limit`: the target states a limit. `ended`: it stated none in an answer to a call sent `ageMs` ago. */
const messageSchema = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('limit'), ...target, requestsPerSecond: z.number().nonnegative(), ageMs: age,
	}),
	z.object({type: z.literal('ended'), ...target, ageMs: age}),
	z.object({
		type: z.literal('ask'), ...target, requestsPerSecond: z.number().nonnegative(), ageMs: age,
		asker: id.transform(text => text as InstanceId), number: z.number().int(), count,
	}),
	z.object({
		type: z.literal('grant'), ...target, number: z.number().int(), count,
	}),
	z.object({
		type: z.literal('queued'), ...target, number: z.number().int(), waitMs: age,
	}),
]);

/** A message about the limit of one target. */
export type LimitMessage = z.infer<typeof messageSchema>;

/** Parses a message; throws if it is malformed. */
export function parseLimitMessage(body: unknown): LimitMessage {
	return messageSchema.parse(body);
}
