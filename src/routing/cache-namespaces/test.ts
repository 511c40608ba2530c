import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {createOrganisation} from '../../fixtures/create-routing-configuration/index.js';
import type {OrganisationId} from '../../identity/ids/index.js';
import type {CallerOrganisation} from '../routing-types/index.js';
import {CacheNamespaces} from './index.js';

/** Ids that resemble other namespaces, and ordinary ones. */
const ids = ['one', 'two', '', ':', '/1', 'one/1', '=', '\uD800', '\uD801'];

/** Calls of all organisations under one configuration: which are isolated, and which are missing from it. */
type Period = {
	readonly states: ReadonlyArray<'sharing' | 'isolated' | 'missing'>;
	/** Whether an instance that still has the configuration before serves them all as well. */
	readonly hasLaggard: boolean;
};

const histories = fc.array(fc.record<Period>({
	states: fc.array(fc.constantFrom('sharing', 'isolated', 'missing'), {minLength: ids.length, maxLength: ids.length}),
	hasLaggard: fc.boolean(),
}), {maxLength: 12});

function createOrganisations({states}: Period): CallerOrganisation[] {
	return ids.flatMap((id, index) => states[index] === 'missing' ? [] : [createOrganisation(id, {isIsolated: states[index] === 'isolated'})]);
}

/** Engine that keeps entries for ever, and knows who made them. */
class EntryKeeper {
	private readonly makers = new Map<string, Set<OrganisationId>>();

	/** Notes a use of a namespace; returns who made entries in it. */
	use(namespace: string, user: OrganisationId): ReadonlySet<OrganisationId> {
		const makers = this.makers.get(namespace) ?? new Set<OrganisationId>();
		this.makers.set(namespace, makers.add(user));
		return makers;
	}
}

/** Whether two organisations may use each other's entries. */
function mayShare(organisations: readonly CallerOrganisation[], one: OrganisationId, other: OrganisationId): boolean {
	const isIsolated = (id: OrganisationId) => organisations.find(organisation => organisation.id === id)?.isIsolated === true;
	return one === other || !(isIsolated(one) || isIsolated(other));
}

test('guards against cache entries of an organisation that stay in use by others after it has become isolated', () => {
	fc.assert(fc.property(histories, periods => {
		const engine = new EntryKeeper();
		let previous = new CacheNamespaces([]);
		for (const period of periods) {
			const organisations = createOrganisations(period);
			const namespaces = new CacheNamespaces(organisations);
			for (const {id} of organisations) {
				if (period.hasLaggard) {
					engine.use(previous.find(id), id);
				}

				const makers = engine.use(namespaces.find(id), id);
				expect([...makers].every(maker => mayShare(organisations, id, maker))).toEqual(true);
			}

			previous = namespaces;
		}
	}), {numRuns: 500});
});

test('shares entries among organisations that are not isolated, whatever the order of the configuration', () => {
	const organisations = [createOrganisation('a'), createOrganisation('b'), createOrganisation('c', {isIsolated: true}), createOrganisation('d', {isIsolated: true})];
	const namespaces = new CacheNamespaces(organisations);
	const [a, b, c, d] = organisations.map(({id}) => namespaces.find(id));
	expect([a === b, a === namespaces.find(undefined), new Set([a, c, d]).size]).toEqual([true, true, 3]);
	expect(new CacheNamespaces(organisations.toReversed()).shared).toEqual(namespaces.shared);
});

test('guards against namespaces that a header cannot carry', () => {
	const organisations = ['字', 'a b', '\n'].map(id => createOrganisation(id, {isIsolated: true}));
	const namespaces = new CacheNamespaces(organisations);
	expect(organisations.every(({id}) => /^[\u0021-\u007E]+$/u.test(namespaces.find(id)))).toEqual(true);
});
