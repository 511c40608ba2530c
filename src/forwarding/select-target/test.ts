import {test} from 'node:test';
import {expect} from 'earl';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createStreamOrigin} from '../../fixtures/create-stream-origin/index.js';
import {PrefixDirectory} from '../../fleet/prefix-directory/index.js';
import {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {openLimitGate} from '../../limits/limit-gate/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import type {InboundCall} from '../call-types/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import {PrefixHints} from '../prefix-hints/index.js';
import {hasAlternativeTarget, selectTarget, type TargetSelection} from './index.js';

const now = 100 as MonotonicMs;
const callWithoutPrompt: Partial<InboundCall> = {work: undefined};

/** Selects among `ids`, of which only `allowed` have a permit or no limit; returns the choice and the targets for which permits were asked. */
function select(ids: readonly string[], allowed: readonly string[]) {
	const fleet = new TargetFleet(quietLogger);
	fleet.replace(ids.map(id => createDescription(id)), 0 as MonotonicMs);
	const asked: string[] = [];
	const context: Partial<ForwardingContext> = {
		fleet, findService: () => undefined, draw: () => 0,
		limits: {
			...openLimitGate,
			allows: ({description: {id}}: FleetTarget) => allowed.includes(id),
			ask(target) {
				asked.push(target.description.id);
			},
		},
	};
	const session: Partial<TargetSelection['session']> = {call: callWithoutPrompt as InboundCall, service: 'service-1' as ServiceId};
	const selection: TargetSelection = {
		session: session as TargetSelection['session'],
		triedTargets: new Set(), hints: new PrefixHints(undefined, () => '', new PrefixDirectory()), origin: createStreamOrigin(),
	};
	const target = selectTarget(selection, context as ForwardingContext, now);
	const first = fleet.locate(createDescription(ids[0]!).id)!;
	const hasOther = hasAlternativeTarget(selection, first, context as ForwardingContext, now);
	return {chosen: target?.description.id as string | undefined, asked: asked.toSorted(), hasOther};
}

test('guards against a request to a target whose limit leaves no room: the next best one gets it', () => {
	const {chosen, hasOther} = select(['a', 'b', 'c'], ['b']);
	expect([chosen, hasOther]).toEqual(['b', true]);
	expect(select(['a', 'b'], ['a', 'b']).asked).toEqual([]);
});

test('guards against calls that wait for the permit of one target only when all are limited', () => {
	expect(select(['a', 'b', 'c'], [])).toEqual({chosen: undefined, asked: ['a', 'b', 'c'], hasOther: false});
});
