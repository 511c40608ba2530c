import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs, SoftwareVersion} from '../../identity/ids/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import {SoftwareHistory} from './index.js';

const memoryMs = 1000;
const service = 's' as ServiceId;
const at = (ms: number) => ms as MonotonicMs;
const listTargets = (...versions: string[]) => versions.map(version => ({service, softwareVersion: version as SoftwareVersion}));

test('guards against forgetting a version while streams that it began may be taken up', () => {
	const history = new SoftwareHistory(() => memoryMs);
	history.observe(listTargets('v1', 'v1'), at(0));
	history.observe(listTargets('v1', 'v2'), at(5000));
	expect([history.list(service, at(5000)).map(String), history.hasSeveral(at(5000))]).toEqual([['v1', 'v2'], true]);
	history.observe(listTargets('v2'), at(6000));
	expect([6000, 6999, 7000].map(now => history.list(service, at(now)).length)).toEqual([2, 2, 1]);
	expect(history.read(at(7000))).toEqual({s: ['v2' as SoftwareVersion]});
});

test('guards against an earlier version that is counted for longer each time it is heard of', () => {
	const history = new SoftwareHistory(() => memoryMs);
	history.addEarlier({s: ['v1' as SoftwareVersion]}, at(0));
	history.observe(listTargets('v2'), at(10));
	history.addEarlier({s: ['v1' as SoftwareVersion, 'v2' as SoftwareVersion]}, at(900));
	expect([999, 1000].map(now => history.list(service, at(now)).map(String))).toEqual([['v1', 'v2'], ['v2']]);
	history.observe(listTargets('v1', 'v2'), at(2000));
	expect(history.hasSeveral(at(9000))).toEqual(true);
});
