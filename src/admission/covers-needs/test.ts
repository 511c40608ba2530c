import {test} from 'node:test';
import {expect} from 'earl';
import {createQueuedCall} from '../../fixtures/create-queued-call/index.js';
import type {SoftwareVersion} from '../../identity/ids/index.js';
import {coversNeeds, coversTargets} from './index.js';

const {needs} = createQueuedCall();
const bound = {...needs, software: 'v1' as SoftwareVersion};

test('guards against a call that waits behind one which can use none of its room', () => {
	expect([coversNeeds(needs, needs), coversNeeds({...needs, memoryTokens: 2000}, needs)]).toEqual([true, false]);
	expect([coversTargets(needs, bound), coversTargets(bound, needs)]).toEqual([true, false]);
	expect(coversTargets(bound, {...needs, software: 'v2' as SoftwareVersion})).toEqual(false);
	expect(coversTargets(needs, {...needs, model: 'another'})).toEqual(false);
});
