/** Serves the head and its parts to peers. */

import type {InstanceId, Revision} from '../../identity/ids/index.js';
import {noRevision} from '../../membership/membership/index.js';
import type {PeerMethodRegistry} from '../../peers/peer-caller/index.js';
import type {ConfigurationHead, PartHash} from '../configuration-head/index.js';
import {
	announceMethod, fetchHeadMethod, fetchPartsMethod, parseAnnouncement, parsePartsQuery, type PartsAnswer,
} from '../peer-methods/index.js';
import type {PartContent} from '../split-configuration/index.js';

/** Callbacks of the peer methods. */
export type PeerMethodContext = {
	readonly readHead: () => ConfigurationHead | undefined;
	readonly findPart: (hash: PartHash) => PartContent | undefined;
	readonly recordPeerRevision: (peer: InstanceId, revision: Revision) => void;
	readonly recordPeerContact: () => void;
};

/** Registers the three peer methods that relay the configuration. */
export function registerPeerMethods(registry: PeerMethodRegistry, context: PeerMethodContext): void {
	registry.register(announceMethod, async (parameters, from) => {
		context.recordPeerRevision(from, parseAnnouncement(parameters).revision);
		return {revision: context.readHead()?.revision ?? noRevision};
	});
	registry.register(fetchHeadMethod, async () => {
		context.recordPeerContact();
		return {head: context.readHead() ?? null};
	});
	registry.register(fetchPartsMethod, async (parameters): Promise<PartsAnswer> => {
		const parts = parsePartsQuery(parameters).map(hash => ({hash, content: context.findPart(hash)}));
		return {parts: parts.filter(part => part.content !== undefined) as PartsAnswer['parts']};
	});
}
