import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {assessHandover, type HandoverInProgress} from './index.js';

function assessAt(now: number, changes: Partial<HandoverInProgress> = {}) {
	return assessHandover({
		deadline: 3000 as MonotonicMs, lastHeardAt: 0 as MonotonicMs, hasBegun: false, isMember: true, ...changes,
	}, now as MonotonicMs);
}

test('guards against a call that waits past its deadline for another instance', () => {
	expect(assessAt(3000)).toEqual('expired');
	expect(assessAt(3000, {hasBegun: true, lastHeardAt: 2999 as MonotonicMs})).toEqual('expired');
});

test('guards against waiting for an instance that answers no call, and against leaving a slow one that answers others', () => {
	expect(assessAt(400)).toEqual('keep');
	expect(assessAt(600)).toEqual('silent');
	expect(assessAt(600, {lastHeardAt: 300 as MonotonicMs})).toEqual('keep');
});

test('guards against an answer that hangs after its instance is gone, and against cutting one that is only slow', () => {
	const begun = {hasBegun: true, lastHeardAt: 500 as MonotonicMs};
	expect(assessAt(2000, begun)).toEqual('keep');
	expect(assessAt(2000, {...begun, isMember: false})).toEqual('broken');
	expect(assessAt(1000, {...begun, isMember: false})).toEqual('keep');
});
