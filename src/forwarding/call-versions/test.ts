import {test} from 'node:test';
import {expect} from 'earl';
import {createFleetTarget} from '../../fixtures/create-fleet-target/index.js';
import {createRoute} from '../../fixtures/create-routing-configuration/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs, SoftwareVersion} from '../../identity/ids/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import type {ResponseHead} from '../call-types/index.js';
import type {AttemptAnswer} from '../attempt-answer/index.js';
import type {Attempt} from '../session-types/index.js';
import type {VersionRouting} from '../version-routing/index.js';
import {CallVersions} from './index.js';

const [oldVersion, newVersion] = ['v1', 'v2'].map(version => version as SoftwareVersion) as [SoftwareVersion, SoftwareVersion];
const targets = [oldVersion, newVersion].map(softwareVersion => createFleetTarget(softwareVersion, {softwareVersion}));

/** Creates the versions of a call that has drawn `drawn`, while the new version gets `share`. */
function createVersions(share: number, drawn: number, isBound = false) {
	const outcomes: string[] = [];
	const current = {share};
	const versionRouting: VersionRouting = {
		chooseLane: (_service, fraction) => fraction < current.share || current.share >= 1 ? 'new' : 'previous',
		allows: (_service, lane, version) => lane === undefined || (lane === 'new') === (version === newVersion),
		recordSent({target}) {
			outcomes.push(`sent ${target.description.id}`);
		},
		recordEnded(_request, outcome) {
			outcomes.push(outcome);
		},
	};
	const session = {service: 'service-1' as ServiceId, route: createRoute('r')};
	const versions = new CallVersions(session, {isBound}, {versionRouting, draw: () => drawn});
	return {
		versions, outcomes, current, list: () => versions.select(targets).map(({description}) => String(description.id)),
	};
}

function createAttempt(target: FleetTarget, status?: number, isWhole = true): Attempt {
	const head: Partial<ResponseHead> = {status};
	const answer: Partial<AttemptAnswer> = {hasEnded: isWhole, isWhole};
	const attempt: Partial<Attempt> = {
		target, record: target.beginCall(0, 0 as MonotonicMs),
		head: status === undefined ? undefined : head as ResponseHead, answer: status === undefined ? undefined : answer as AttemptAnswer,
	};
	return attempt as Attempt;
}

test('sends the drawn share of the calls to the new version', () => {
	expect([0.01, 0.5].map(drawn => createVersions(0.05, drawn).list())).toEqual([['v2'], ['v1']]);
});

test('guards against a call that waits and stays with the old version after the shift', () => {
	const {current, list} = createVersions(0.05, 0.5);
	expect(list()).toEqual(['v1']);
	current.share = 1;
	expect(list()).toEqual(['v2']);
});

test('guards against repeats that add to what a bad version gets', () => {
	const {versions, current, list} = createVersions(0.05, 0.01);
	versions.recordBegun(createAttempt(targets[1]!));
	expect(list()).toEqual(['v1']);
	current.share = 1;
	expect(list()).toEqual(['v2']);
});

test('goes to the old version if no target of the new one can take the call', () => {
	const {versions, list} = createVersions(0.05, 0.01);
	expect([versions.retreat(), versions.retreat(), list()]).toEqual([true, false, ['v1']]);
	expect(createVersions(1, 0.01).versions.retreat()).toEqual(false);
});

test('guards against a stream that leaves its version', () => {
	const {versions, list} = createVersions(0.05, 0.01, true);
	expect([versions.retreat(), list()]).toEqual([false, ['v1', 'v2']]);
});

test('tells good answers from failures and from requests that were given up', () => {
	const {versions, outcomes} = createVersions(1, 0);
	const target = targets[1]!;
	versions.recordEnded(createAttempt(target, 200), true);
	versions.recordEnded(createAttempt(target, 404), true);
	versions.recordEnded(createAttempt(target, 500), true);
	versions.recordEnded(createAttempt(target), true);
	versions.recordEnded(createAttempt(target, 200, false), true);
	versions.recordEnded(createAttempt(target, 503), false);
	expect(outcomes).toEqual(['good', 'good', 'failed', 'unanswered', 'unanswered', 'notRun']);
	outcomes.length = 0;
	versions.recordFailure(createAttempt(target), 'unknown');
	versions.recordFailure(createAttempt(target, 200, false), 'broken');
	versions.recordFailure(createAttempt(target), 'notSent');
	versions.recordFailure(createAttempt(target, 429), 'notRun');
	expect(outcomes).toEqual(['failed', 'failed']);
});

test('guards against any change without rollouts', () => {
	const versions = new CallVersions({service: 'service-1' as ServiceId, route: createRoute('r')}, {isBound: false}, {
		draw() {
			throw new Error('a call without rollouts draws nothing');
		},
	});
	expect([versions.select(targets).length, versions.retreat()]).toEqual([2, false]);
});
