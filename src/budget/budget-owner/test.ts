import {test} from 'node:test';
import {expect} from 'earl';
import type {ResolvedOrganisation} from '../../configuration/configuration/index.js';
import type {Incarnation, MonotonicMs, OrganisationId} from '../../identity/ids/index.js';
import {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import {chooseSlot} from '../budget-ledger/index.js';
import {defaultBudgetTimings, partsPerSlot} from '../budget-timings/index.js';
import {BudgetOwner} from './index.js';

const at = (ms: number) => ms as MonotonicMs;

function createOrganisation(id: string, burstTokens = 800): ResolvedOrganisation {
	return {
		id: id as OrganisationId, tokensPerSecond: 80, burstTokens, weight: 1,
	};
}

function createOwner(organisations: readonly ResolvedOrganisation[], isInitiallyFull = true): BudgetOwner {
	const owner = new BudgetOwner({
		incarnation: 'life' as Incarnation, timings: defaultBudgetTimings, invariants: new InvariantChecker({isStrict: true}),
	});
	for (const slot of new Set(['one', 'two', 'joined'].map(id => chooseSlot(id as OrganisationId)))) {
		owner.addPart(slot * partsPerSlot, {slot, usableAt: at(1000), start: {level: isInitiallyFull ? 1 : 0, outstanding: 0}}, at(0));
	}

	owner.applyOrganisations(organisations, at(0));
	return owner;
}

const joined = 'joined' as OrganisationId;
const one = 'one' as OrganisationId;

test('guards against a full burst for an organisation that was joined from two after the first configuration', () => {
	const owner = createOwner([createOrganisation('one'), createOrganisation('two')]);
	expect(owner.readLevel(one, at(2000))).toEqual(100);
	owner.applyOrganisations([createOrganisation('joined')], at(2000));
	expect(owner.readLevel(joined, at(2000))).toEqual(0);
	expect(owner.readLevel(joined, at(3000))).toEqual(10);
});

test('guards against a change of burst, or removing and adding an organisation, that adds tokens', () => {
	const owner = createOwner([createOrganisation('one')]);
	owner.grant(one, 90, at(2000));
	owner.applyOrganisations([createOrganisation('one', 1600)], at(2000));
	expect(owner.readLevel(one, at(2000))).toEqual(10);
	owner.applyOrganisations([createOrganisation('one', 400)], at(2000));
	expect(owner.readLevel(one, at(2000))).toEqual(0);
	owner.applyOrganisations([], at(2000));
	expect(owner.grant(one, 10, at(2100))).toEqual([]);
	owner.applyOrganisations([createOrganisation('one')], at(2200));
	expect(owner.readLevel(one, at(2200))).toEqual(0);
});

test('guards against a part that refills while grants of its earlier owner are still valid', () => {
	const owner = createOwner([createOrganisation('one')], false);
	expect(owner.grant(one, 10, at(999))).toEqual([]);
	expect(owner.readLevel(one, at(2000))).toEqual(10);
});

test('guards against tokens that are counted twice when reports are repeated, late or arrive after their grant has expired', () => {
	const owner = createOwner([createOrganisation('one')]);
	const [grant] = owner.grant(one, 100, at(2000));
	const report = {grant: grant!.id, spent: 20, returned: 30};
	owner.applyReports([report, report, {grant: grant!.id, spent: 0, returned: 10}], at(2000));
	expect(owner.readLevel(one, at(2000))).toEqual(30);
	owner.applyReports([{grant: grant!.id, spent: 20, returned: 80}], at(2000 + defaultBudgetTimings.grantExpiryMs));
	expect(owner.readLevel(one, at(2000 + defaultBudgetTimings.grantExpiryMs))).toEqual(50);
});
