import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createMember} from '../../fixtures/create-member/index.js';
import {createRolloutOrder} from '../../fixtures/create-rollout-object/index.js';
import {FaultyObjectApi} from '../../fixtures/faulty-object-api/index.js';
import {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {ResourceVersion, SoftwareVersion} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {FakeDatagramNetwork} from '../../peers/fake-datagram-network/index.js';
import {MemoryObjectApi} from '../../store/memory-object-api/index.js';
import {feedCollections} from '../../fixtures/start-gateway-feeds/index.js';
import type {RolloutOrder, RolloutStatus} from '../../software-rollout/rollout-types/index.js';
import type {SettingsStore} from '../settings-store/index.js';
import {joinStops, createSoftwareRollouts} from './index.js';

type Settings = SettingsStore['current'];

function createParts(softwareRollout: Settings['softwareRollout']) {
	const clock = new ManualClock();
	const objectApi = new FaultyObjectApi(new MemoryObjectApi(), clock);
	const fleet = new TargetFleet(quietLogger);
	const versions = ['v1', 'v2'].map(version => createDescription(version, {softwareVersion: version as SoftwareVersion}));
	fleet.replace(versions, clock.readMonotonic());
	const listen: Partial<Settings['listen']> = {peer: '127.0.0.1:1'};
	const current: Partial<Settings> = {instance: 'i1', listen: listen as Settings['listen'], softwareRollout};
	const settings: Partial<SettingsStore> = {current: current as Settings};
	const parts = createSoftwareRollouts({
		settings: settings as SettingsStore, clock, logger: quietLogger, fleet, channel: new FakeDatagramNetwork().open('i1'), listLive: () => [createMember('i1')],
		adapter: {
			objectApi, collections: feedCollections,
			decodeRollout: ({name, value, status, resourceVersion: version}) => value === 'invalid'
				? undefined
				: {
					name, order: value as RolloutOrder, status: status as RolloutStatus | undefined, version,
				},
			encodeRolloutStatus: status => status,
		},
	});
	return {clock, objectApi, parts};
}

test('guards against any effect without the setting', () => {
	expect(createParts(undefined).parts).toEqual(undefined);
});

test('writes the status of an order, and ignores one that is not valid', async () => {
	const {clock, objectApi, parts} = createParts({exposureShare: 0.1, exposureSlack: 50, rollbackMs: 5000});
	const controller = new AbortController();
	void parts!.rollouts.run(controller.signal);
	const order = createRolloutOrder();
	await objectApi.create(feedCollections.rollouts, order.service, order);
	await objectApi.create(feedCollections.rollouts, 'odd', 'invalid');
	const {items, resourceVersion} = await objectApi.list(feedCollections.rollouts);
	parts!.onRollouts([], '0' as ResourceVersion);
	parts!.onRollouts(items, resourceVersion);
	// The tasks wake before the time goes on.
	await clock.advance(0);
	await clock.advance(1000);
	const {status} = await objectApi.get(feedCollections.rollouts, order.service);
	expect([(status as RolloutStatus).state, (status as RolloutStatus).previous.join(',')]).toEqual(['serving', 'v1']);
	controller.abort();
});

test('guards against a lease that is not released because another one can\'t be', async () => {
	const released: string[] = [];
	const stops = joinStops([undefined, {
		async stop() {
			released.push('first');
			throw new Error('unavailable');
		},
	}, {
		async stop() {
			released.push('second');
		},
	}]);
	let reason = '';
	try {
		await stops.stop();
	} catch (error) {
		reason = (error as Error).message;
	}

	expect([released, reason]).toEqual([['first', 'second'], 'unavailable']);
});
