import {test} from 'node:test';
import {expect} from 'earl';
import {createQueuedCall} from '../../fixtures/create-queued-call/index.js';
import type {SoftwareVersion} from '../../identity/ids/index.js';
import {FailedNeeds} from './index.js';

const {needs} = createQueuedCall();
const small = {...needs, memoryTokens: 10};

test('guards against work for calls whose needs were not met a moment before', () => {
	const failed = new FailedNeeds();
	failed.add(needs, {isHeld: false, appliesToOthers: true});
	expect([failed.matches(needs), failed.matches({...needs, memoryTokens: 5000}), failed.matches(small)]).toEqual([true, true, false]);
});

test('guards against a large call that never gets room because smaller ones take what frees up', () => {
	const failed = new FailedNeeds();
	failed.add(needs, {isHeld: true, appliesToOthers: true});
	expect(failed.matches(small)).toEqual(true);
});

test('guards against calls of all versions that wait for the room of one version', () => {
	const failed = new FailedNeeds();
	failed.add({...needs, software: 'v1' as SoftwareVersion}, {isHeld: true, appliesToOthers: true});
	expect([failed.matches(needs), failed.matches({...needs, software: 'v1' as SoftwareVersion})]).toEqual([false, true]);
});

test('guards against calls that ask for no permit because another one found none', () => {
	const failed = new FailedNeeds();
	failed.add(needs, {isHeld: false, appliesToOthers: false});
	expect(failed.matches(needs)).toEqual(false);
});
