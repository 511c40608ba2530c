import {test} from 'node:test';
import {expect} from 'earl';
import {Registry} from 'prom-client';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {TargetFleet} from '../../fleet/target-fleet/index.js';
import {createQueuedCall} from '../../fixtures/create-queued-call/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import {parseGatewaySettings, type GatewaySettings} from '../gateway-settings/index.js';
import {createAdmission} from './index.js';

const limits = {
	maximumCalls: 1, maximumBytes: 1e6, longestWaitMs: 5000, goalFraction: 0,
};

function create(current: Pick<GatewaySettings, 'admission'>) {
	return createAdmission({
		settings: {current}, clock: new ManualClock(), logger: quietLogger, random: new RandomSource(1), metrics: {registry: new Registry()},
		fleet: new TargetFleet(quietLogger),
	});
}

test('guards against queues in a deployment that does not ask for them', () => {
	expect([create({}) === undefined, create({admission: limits}) === undefined]).toEqual([true, false]);
});

test('guards against changed limits that wait for the next start', () => {
	const current: {admission: GatewaySettings['admission']} = {admission: limits};
	const queue = create(current)!.get('s' as ServiceId);
	for (const maximumCalls of [1, 3, 3]) {
		current.admission = {...limits, maximumCalls};
		queue.join(createQueuedCall(), 0 as MonotonicMs);
	}

	current.admission = undefined;
	queue.join(createQueuedCall(), 0 as MonotonicMs);
	expect(queue.length).toEqual(3);
});

/** Parses settings with the given section. */
function parseAdmission(admission: unknown) {
	const settings = {
		instance: 'i1', dataCentre: 'dc-1', region: 'r1', objectApi: '127.0.0.1:1', seeds: [],
		listen: {
			caller: '127.0.0.1:1', readiness: '127.0.0.1:2', directory: '127.0.0.1:3', peer: '127.0.0.1:4', admin: '127.0.0.1:5',
		},
		retryBudget: {ratio: 0.2, extra: 50}, quotaTolerance: {ratio: 0.1, extraTokens: 1000}, weightsLimitMs: 10_000, graceMs: 8000, admission,
	};
	return parseGatewaySettings(JSON.stringify(settings), 'settings.jsonc').admission;
}

test('guards against settings of the queues that are wrong, or that have to be named one by one', () => {
	expect(parseAdmission({})).toEqual({
		maximumCalls: 1000, maximumBytes: 33_554_432, longestWaitMs: 5000, goalFraction: 0.8,
	});
	expect(parseAdmission(undefined)).toEqual(undefined);
	for (const wrong of [{maximumCalls: 0}, {maximumBytes: 10}, {longestWaitMs: -1}, {goalFraction: 11}, {maximumCalls: 1.5}]) {
		expect(() => parseAdmission(wrong)).toThrow(/settings\.jsonc/u);
	}
});
