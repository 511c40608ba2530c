/** Serves head and parts to peers. */

import type {InstanceId, Revision} from '../../identity/ids/index.js';
import {noRevision} from '../../membership/membership/index.js';
import type {PeerMethodRegistry} from '../../peers/peer-caller/index.js';
import type {ConfigurationHead, PartHash} from '../configuration-head/index.js';
import {
	announceMethod, fetchHeadMethod, fetchPartsMethod, parseAnnouncement, parsePartsQuery, type PartsAnswer,
} from '../peer-methods/index.js';
import type {PartContent} from '../split-configuration/index.js';

/** What the methods read and note. */
export type PeerMethodSource = {
	readonly readHead: () => ConfigurationHead | undefined;
	readonly findPart: (hash: PartHash) => PartContent | undefined;
	readonly noteHeard: (peer: InstanceId, revision: Revision) => void;
	readonly noteContact: () => void;
};

/** Registers the three methods of the configuration. */
export function registerPeerMethods(registry: PeerMethodRegistry, source: PeerMethodSource): void {
	registry.register(announceMethod, async (parameters, from) => {
		source.noteHeard(from, parseAnnouncement(parameters).revision);
		return {revision: source.readHead()?.revision ?? noRevision};
	});
	registry.register(fetchHeadMethod, async () => {
		source.noteContact();
		return {head: source.readHead() ?? null};
	});
	registry.register(fetchPartsMethod, async (parameters): Promise<PartsAnswer> => {
		const parts = parsePartsQuery(parameters).map(hash => ({hash, content: source.findPart(hash)}));
		return {parts: parts.filter(part => part.content !== undefined) as PartsAnswer['parts']};
	});
}
