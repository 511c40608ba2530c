import {test} from 'node:test';
import {expect} from 'earl';
import type {FencingNumber, Incarnation} from '../../identity/ids/index.js';
import type {LeaseRecord} from '../../leases/lease/index.js';
import {calculateOrderPauseMs, maximumRenewalAgeMs, rolloutLeaseMs} from './index.js';

function createRecord(changes: Partial<LeaseRecord>): LeaseRecord {
	return {
		holder: 'a', incarnation: 'a-1' as Incarnation, fencing: 1 as FencingNumber, renewals: 1, durationMs: rolloutLeaseMs, ...changes,
	};
}

test('guards against orders of two holders within one duration of the lease', () => {
	expect(calculateOrderPauseMs(createRecord({})) > maximumRenewalAgeMs).toEqual(true);
	expect(calculateOrderPauseMs(createRecord({holder: '', unusedMs: 0})) > rolloutLeaseMs).toEqual(true);
	expect(calculateOrderPauseMs(createRecord({holder: '', unusedMs: 60_000}))).toEqual(0);
});
