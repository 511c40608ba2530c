/** Messages with which instances relay the configuration to each other. */

import {z} from 'zod';
import type {Revision} from '../../identity/ids/index.js';
import {headSchema, type ConfigurationHead, type PartHash} from '../configuration-head/index.js';
import type {PartContent} from '../split-configuration/index.js';

/** Announces the revision that the sender has applied. The receiver answers with its own. */
export const announceMethod = 'configuration.announce';
/** Requests the head that the peer has applied. */
export const fetchHeadMethod = 'configuration.fetchHead';
/** Requests parts by hash. The answer omits parts that the peer does not have. */
export const fetchPartsMethod = 'configuration.fetchParts';

/** At the configuration size expected in two years, a part has about 18 KB. */
export const partsPerMessage = 32;

const announcementSchema = z.object({revision: z.number().int().transform(value => value as Revision)});
const headAnswerSchema = z.object({head: headSchema.nullable()});
const partsQuerySchema = z.object({parts: z.array(z.string()).max(partsPerMessage)});
const partsAnswerSchema = z.object({
	parts: z.array(z.object({hash: z.string(), content: z.object({items: z.array(z.unknown())})})).max(partsPerMessage),
});

/** Revision that a peer has applied, or -1 if it has none. */
export type Announcement = {readonly revision: Revision};

/** Requested parts with their hashes. */
export type PartsAnswer = {readonly parts: ReadonlyArray<{readonly hash: PartHash; readonly content: PartContent}>};

export function parseAnnouncement(value: unknown): Announcement {
	return announcementSchema.parse(value);
}

export function parseHeadAnswer(value: unknown): ConfigurationHead | null {
	return headAnswerSchema.parse(value).head;
}

export function parsePartsQuery(value: unknown): readonly PartHash[] {
	return partsQuerySchema.parse(value).parts as PartHash[];
}

/** Validates only the outer structure; the content of each part is verified by its hash. */
export function parsePartsAnswer(value: unknown): PartsAnswer {
	return partsAnswerSchema.parse(value) as unknown as PartsAnswer;
}
