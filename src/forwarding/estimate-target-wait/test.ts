import {test} from 'node:test';
import {expect} from 'earl';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {TargetFleet} from '../../fleet/target-fleet/index.js';
import {createStreamOrigin} from '../../fixtures/create-stream-origin/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {openLimitGate} from '../../limits/limit-gate/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import type {TargetSelection} from '../select-target/index.js';
import {estimateTargetWait, type TargetWait} from './index.js';

const at = (ms: number) => ms as MonotonicMs;

/** Builds a service whose targets have limits; `waits` are the waits that issuers estimated at 0, `pauses` the ends of pauses, in milliseconds. */
function estimate(waits: ReadonlyArray<number | undefined>, allowed: readonly string[] = [], pauses: readonly number[] = []): TargetWait | undefined {
	const fleet = new TargetFleet(quietLogger);
	fleet.replace(waits.map((_, index) => createDescription(`t${index}`)), at(0));
	for (const [index, target] of [...fleet.list()].entries()) {
		target.permits.open(index, at(0));
		target.pause.recordStated(at(pauses[index] ?? 0), at(0));
		if (waits[index] !== undefined) {
			target.permits.recordWait(index, waits[index], at(0));
		}
	}

	const context = {fleet, limits: {...openLimitGate, allows: (target: {description: {id: string}}) => allowed.includes(target.description.id)}};
	return estimateTargetWait({session: {service: 'service-1' as ServiceId}, origin: createStreamOrigin()} as TargetSelection, context, at(100));
}

test('estimates the wait for the first permit of any target', () => {
	expect(estimate([900, 500])).toEqual({ms: 400, reason: 'limited'});
	expect(estimate([50])).toEqual({ms: 0, reason: 'limited'});
});

test('guards against rejecting calls that another target may take, or before the issuers have answered', () => {
	expect([estimate([900, 500], ['t1']), estimate([900, undefined]), estimate([])]).toEqual([undefined, undefined, undefined]);
});

test('guards against a wait for a target that wants no requests, or none although one is known', () => {
	expect(estimate([undefined, undefined], ['t0', 't1'], [700, 400])).toEqual({ms: 300, reason: 'paused'});
	expect(estimate([undefined, 900], ['t0'], [700])).toEqual({ms: 600, reason: 'limited'});
	expect(estimate([undefined, undefined], ['t0', 't1'], [700])).toEqual(undefined);
});
