/** The messages by which daemons relay the configuration. */

import {z} from 'zod';
import type {Revision} from '../../identity/ids/index.js';
import {headSchema, type ConfigurationHead, type PartHash} from '../configuration-head/index.js';
import type {PartContent} from '../split-configuration/index.js';

/** States a revision that the sender has in force; answered with the receiver's own. */
export const announceMethod = 'configuration.announce';
/** Asks for the head in force. */
export const fetchHeadMethod = 'configuration.fetchHead';
/** Asks for parts by hash. Parts that the peer no longer has are left out of the answer. */
export const fetchPartsMethod = 'configuration.fetchParts';

/** Parts per message. At two-year sizes a part has about 18 KB. */
export const partsPerMessage = 32;

const announcementSchema = z.object({revision: z.number().int().transform(value => value as Revision)});
const headAnswerSchema = z.object({head: headSchema.nullable()});
const partsQuerySchema = z.object({parts: z.array(z.string()).max(partsPerMessage)});
const partsAnswerSchema = z.object({
	parts: z.array(z.object({hash: z.string(), content: z.object({items: z.array(z.unknown())})})).max(partsPerMessage),
});

/** A revision as stated by a peer, -1 when it has none. */
export type Announcement = {readonly revision: Revision};

/** Parts by hash. */
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

/** Checks the outer shape only; the hash of each part proves its content. */
export function parsePartsAnswer(value: unknown): PartsAnswer {
	return partsAnswerSchema.parse(value) as unknown as PartsAnswer;
}
