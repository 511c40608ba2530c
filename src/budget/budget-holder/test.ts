import {test} from 'node:test';
import {expect} from 'earl';
import type {
	Incarnation, InstanceId, MonotonicMs, OrganisationId,
} from '../../identity/ids/index.js';
import {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import {defaultBudgetTimings} from '../budget-timings/index.js';
import {BudgetHolder} from './index.js';

const organisation = 'one' as OrganisationId;
const granter = 'entry-1' as InstanceId;
const at = (ms: number) => ms as MonotonicMs;

function createHolder(): BudgetHolder {
	const holder = new BudgetHolder({
		incarnation: 'life' as Incarnation, timings: defaultBudgetTimings, invariants: new InvariantChecker({isStrict: true}),
	});
	holder.addGrant({
		id: 'g1', organisation, tokens: 100, validMs: 5000,
	}, granter, at(1000));
	return holder;
}

test('guards against a paused holder that spends a grant whose validity, counted from the sending of the request, is over', () => {
	const holder = createHolder();
	expect(holder.charge(organisation, 10, at(5999), 100) === undefined).toEqual(false);
	expect(holder.charge(organisation, 10, at(6000), 100)).toEqual(undefined);
	expect(holder.relay(organisation, 10, at(6000))).toEqual([]);
});

test('guards against a refund of tokens that were reported as spent', () => {
	const holder = createHolder();
	const charge = holder.charge(organisation, 60, at(1000), 100)!;
	holder.expire(at(1100));
	expect(holder.collectReports(granter)).toEqual([{grant: 'g1', spent: 60, returned: 0}]);
	holder.settle(charge, 10);
	expect(holder.countAvailable(organisation, at(1100))).toEqual(40);
	const secondCharge = holder.charge(organisation, 40, at(1100), 100)!;
	holder.settle(secondCharge, 15);
	expect(holder.countAvailable(organisation, at(1100))).toEqual(25);
});

test('guards against a relayed grant that outlives its grant or is spent twice', () => {
	const holder = createHolder();
	const [relayedGrant] = holder.relay(organisation, 80, at(3000));
	expect(relayedGrant!.validMs < 3000).toEqual(true);
	expect(holder.countAvailable(organisation, at(3000))).toEqual(20);
	const report = {grant: relayedGrant!.id, spent: 30, returned: 50};
	holder.applyReports([report, report], at(3500));
	holder.applyReports([{grant: relayedGrant!.id, spent: 10, returned: 0}], at(3600));
	expect(holder.countAvailable(organisation, at(3600))).toEqual(70);
	expect(holder.collectReports(granter)).toEqual([{grant: 'g1', spent: 30, returned: 0}]);
});
