/** Memory of a budget owner's buckets and a budget holder's grants, and bytes of a budget exchange, per active organisation. */

import type {ResolvedOrganisation} from '../../configuration/configuration/index.js';
import type {
	Incarnation, InstanceId, MonotonicMs, OrganisationId,
} from '../../identity/ids/index.js';
import {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import type {ExchangeAnswer, ExchangeRequest} from '../../budget/budget-exchange/index.js';
import {BudgetHolder} from '../../budget/budget-holder/index.js';
import {partsPerSlot, slotCount, defaultBudgetTimings} from '../../budget/budget-timings/index.js';
import {BudgetOwner} from '../../budget/budget-owner/index.js';
import {createMeasurement, type Measurement} from '../measurement/index.js';
import {measureHeap} from '../measure-heap/index.js';

const organisationCounts = [100, 650, 1300, 2600];
const organisationsPerExchange = [1, 5, 20];
const incarnation = 'entry-0.1' as Incarnation;
const granter = 'entry-1' as InstanceId;
const startMs = 1 as MonotonicMs;
const sharedOptions = {incarnation, timings: defaultBudgetTimings, invariants: new InvariantChecker({isStrict: true})};

/** Measures bytes per organisation at the owner, at the holder and in an exchange. */
export async function measureBudgetState(): Promise<Measurement[]> {
	const ownerPoints = [];
	const holderPoints = [];
	for (const size of organisationCounts) {
		const organisations = Array.from({length: size}, (_, index) => createOrganisation(index));
		ownerPoints.push({size, value: await measureHeap(() => createOwner(organisations))});
		holderPoints.push({size, value: await measureHeap(() => createHolder(organisations))});
	}

	const exchangePoints = organisationsPerExchange.map(size => ({size, value: countExchangeBytes(size)}));
	return [
		createMeasurement('budget-owner-memory', 'budget owner with one bucket and one grant per organisation', 'bytes per organisation', ownerPoints),
		createMeasurement('budget-holder-memory', 'budget holder with one grant per organisation', 'bytes per organisation', holderPoints),
		createMeasurement('budget-exchange-bytes', 'bodies of one exchange, both ways', 'bytes per organisation', exchangePoints),
	];
}

function createOrganisation(index: number): ResolvedOrganisation {
	return {
		id: `organisation-${index}` as OrganisationId, tokensPerSecond: 1000, burstTokens: 10_000, weight: 1,
	};
}

/** Creates an owner of one part of each slot that has made one grant for each organisation. */
function createOwner(organisations: readonly ResolvedOrganisation[]): BudgetOwner {
	const owner = new BudgetOwner(sharedOptions);
	owner.applyOrganisations(organisations, startMs);
	for (let slot = 0; slot < slotCount; slot += 1) {
		owner.addPart(slot * partsPerSlot, {slot, usableAt: startMs, start: {level: 1, outstanding: 0}}, startMs);
	}

	for (const organisation of organisations) {
		owner.grant(organisation.id, 1, startMs);
	}

	return owner;
}

function createHolder(organisations: readonly ResolvedOrganisation[]): BudgetHolder {
	const holder = new BudgetHolder(sharedOptions);
	for (const [index, organisation] of organisations.entries()) {
		holder.addGrant({
			id: `${incarnation}:${index}`, organisation: organisation.id, tokens: 100, validMs: 5000,
		}, granter, startMs);
		holder.charge(organisation.id, 10, startMs, 1000);
	}

	return holder;
}

function countExchangeBytes(organisationCount: number): number {
	const ids = Array.from({length: organisationCount}, (_, index) => `organisation-${index}` as OrganisationId);
	const grants = ids.map((organisation, index) => ({
		id: `001796358785311-f18bd3b7:${100_000 + index}`, organisation, tokens: 12_345, validMs: 5000,
	}));
	const request: ExchangeRequest = {
		role: 'coordinator', ledgerRevision: 1234,
		reports: grants.map(grant => ({grant: grant.id, spent: 12_000, returned: 345})),
		wants: ids.map(organisation => ({organisation, tokens: 12_345})),
	};
	const answer: ExchangeAnswer = {
		ledgerRevision: 1234, grants, levels: ids.map(organisation => ({organisation, tokens: 123_456})),
	};
	return JSON.stringify(request).length + JSON.stringify(answer).length;
}
