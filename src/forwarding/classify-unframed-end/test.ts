import {test} from 'node:test';
import {expect} from 'earl';
import {createFleetTarget} from '../../fixtures/create-fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {classifyUnframedEnd} from './index.js';

const at = (ms: number) => ms as MonotonicMs;
const endedAt = at(1000);

test('guards against an answer that counts as complete because bytes of another one were read just after the engine crashed', () => {
	const target = createFleetTarget('t');
	target.recordReceivedBytes(at(1030));
	expect(classifyUnframedEnd(target, endedAt)).toEqual('unknown');
	target.recordUnreachable(at(1200));
	expect(classifyUnframedEnd(target, endedAt)).toEqual('broken');
});

test('takes an answer for complete when its target goes on to answer, and for neither while nothing is known', () => {
	const target = createFleetTarget('t');
	target.recordUnreachable(at(900));
	expect(classifyUnframedEnd(target, endedAt)).toEqual('unknown');
	target.recordReceivedBytes(at(1100));
	expect(classifyUnframedEnd(target, endedAt)).toEqual('complete');
});
