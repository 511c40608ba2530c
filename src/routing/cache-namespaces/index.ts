/**
 * Namespaces of cache entries at engines and cache stores. An engine finds an entry only under the namespace in which it was
 * made, and doesn't tell whose call made it, so the namespace alone keeps the entries of organisations apart.
 *
 * The organisations that share their entries use one namespace. It names the set of those that don't, so that no entry in it was
 * made by an organisation of that set, whatever the configurations before said. When the set changes, the shared entries are
 * computed once more. Each isolated organisation has a namespace of its own.
 */

import {createHash} from 'node:crypto';
import type {OrganisationId} from '../../identity/ids/index.js';
import type {CallerOrganisation} from '../routing-types/index.js';

/** Ids that are their own namespace. All others are escaped, so that none equals another namespace or leaves the characters of a header. */
const plainIdPattern = /^[\w.~-]+$/u;
const escapePrefix = '=';
const sharedPrefix = ':';
const digestLength = 32;

/** Namespaces by one configuration. */
export class CacheNamespaces {
	/** Namespace of all organisations that share their entries, and of calls without an organisation. */
	readonly shared: string;
	/** The organisations that use it. */
	private readonly sharing: ReadonlySet<OrganisationId>;

	constructor(organisations: ReadonlyArray<Pick<CallerOrganisation, 'id' | 'isIsolated'>>) {
		const isolated = new Set(organisations.filter(({isIsolated}) => isIsolated).map(({id}) => id));
		this.shared = formatSharedNamespace([...isolated]);
		this.sharing = new Set(organisations.map(({id}) => id).filter(id => !isolated.has(id)));
	}

	/** Finds the namespace of an organisation. One that the configuration doesn't have shares with none. */
	find(organisation: OrganisationId | undefined): string {
		return organisation === undefined || this.sharing.has(organisation) ? this.shared : formatOwnNamespace(organisation);
	}
}

/** Empty as long as no organisation is isolated. */
function formatSharedNamespace(isolatedIds: readonly OrganisationId[]): string {
	if (isolatedIds.length === 0) {
		return '';
	}

	const digest = createHash('sha256').update(JSON.stringify(isolatedIds.toSorted())).digest('hex');
	return sharedPrefix + digest.slice(0, digestLength);
}

function formatOwnNamespace(id: OrganisationId): string {
	return plainIdPattern.test(id) ? id : escapePrefix + Buffer.from(id, 'utf16le').toString('hex');
}
