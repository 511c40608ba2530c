import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {BodyHolding} from '../body-holding/index.js';
import {BodyBudget} from './index.js';

const start = 0 as MonotonicMs;
const bodyBytes = 100_000;
const limits = {heldBytes: 1_000_000, stallMs: 10_000};

function createBudget() {
	const budget = new BodyBudget(() => limits);
	const refused: string[] = [];
	/** Opens a body that has received `bytes` at `now`. */
	const receive = (name: string, bytes: number, now = start): BodyHolding => {
		const holding = budget.open(bodyBytes, reason => {
			refused.push(`${name} ${reason}`);
		}, now);
		if (budget.charge(holding, bytes, bytes)) {
			budget.refuseExcess(now);
		}

		return holding;
	};

	return {budget, refused, receive};
}

test('guards against charging a body whose call has ended, and against releasing it twice', () => {
	const {budget, receive} = createBudget();
	const holding = receive('a', 5000);
	expect([budget.heldBytes, budget.count]).toEqual([5000, 1]);
	budget.release(holding);
	budget.release(holding);
	budget.charge(holding, 6000, 6000);
	budget.complete(holding, 6000);
	expect([budget.heldBytes, budget.count]).toEqual([0, 0]);
});

test('guards against holding more than the limit: the body that stands still with most memory is refused', () => {
	const {budget, refused, receive} = createBudget();
	receive('still', 400_000);
	receive('active', 400_000, 5000 as MonotonicMs);
	receive('new', 300_000, 5000 as MonotonicMs);
	expect(refused).toEqual(['still memory']);
	expect([budget.heldBytes, budget.refusals.memory]).toEqual([700_000, 1]);
});

test('guards against refusing a call that was read as a whole', () => {
	const {budget, refused, receive} = createBudget();
	budget.complete(receive('whole', 900_000), 900_000);
	receive('late', 300_000, 5000 as MonotonicMs);
	expect(refused).toEqual(['late memory']);
	expect(budget.heldBytes).toEqual(900_000);
});

test('guards against refusing short calls because long ones have used the memory up', () => {
	const {budget, refused, receive} = createBudget();
	budget.complete(receive('whole', 1_000_000), 1_000_000);
	for (let index = 0; index < 8; index += 1) {
		receive(`short-${index}`, 10_000);
	}

	expect(refused).toEqual([]);
	expect(budget.heldBytes).toEqual(1_080_000);
});

test('guards against refusing the only body of a legal size if the limit is smaller', () => {
	const {budget, refused} = createBudget();
	const holding = budget.open(5_000_000, () => {
		refused.push('large');
	}, start);
	expect(budget.charge(holding, 4_900_000, 4_900_000)).toEqual(false);
	budget.refuseExcess(start);
	expect(refused).toEqual([]);
});

test('refuses bodies that stand still, sooner when much memory is held', () => {
	const {refused, receive, budget} = createBudget();
	const whole = receive('whole', 500_000);
	budget.complete(whole, 500_000);
	receive('still', 1000);
	budget.refuseStalled(start);
	budget.refuseStalled(4900 as MonotonicMs);
	expect(refused).toEqual([]);
	budget.refuseStalled(5200 as MonotonicMs);
	expect(refused).toEqual(['still stalled']);
});
