import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {BodyHolding} from '../body-holding/index.js';
import {chooseBodyToRefuse} from './index.js';

const now = 10_000 as MonotonicMs;

/** Creates a body that holds `heldBytes`, all of which arrived `ageMs` ago. */
function createHolding(heldBytes: number, ageMs: number): BodyHolding {
	const progressAt = now - ageMs as MonotonicMs;
	const holding = new BodyHolding(() => undefined, progressAt);
	holding.heldBytes = heldBytes;
	holding.sizeBytes = heldBytes;
	holding.observe(progressAt);
	return holding;
}

test('guards against refusing a body that is being sent while one that holds as much stands still', () => {
	const active = createHolding(100_000, 10);
	const still = createHolding(100_000, 4000);
	expect(chooseBodyToRefuse([active, still], 0, now) === still).toEqual(true);
	expect(chooseBodyToRefuse([still, active], 0, now) === still).toEqual(true);
});

test('guards against refusing many small bodies before one that holds most', () => {
	const large = createHolding(1_000_000, 4000);
	const bodies = [createHolding(2000, 4000), large, createHolding(3000, 4000)];
	expect(chooseBodyToRefuse(bodies, 0, now) === large).toEqual(true);
});

test('spares bodies that hold no more than the exempt size, and chooses none if there is no other', () => {
	expect(chooseBodyToRefuse([createHolding(2000, 4000)], 2000, now)).toEqual(undefined);
	expect(chooseBodyToRefuse([createHolding(0, 4000)], 0, now)).toEqual(undefined);
	expect(chooseBodyToRefuse([], 0, now)).toEqual(undefined);
});
