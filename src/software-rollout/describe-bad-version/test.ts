import {test} from 'node:test';
import {expect} from 'earl';
import type {RouteId} from '../../identity/ids/index.js';
import {describeBadVersion} from './index.js';

test('names the evidence and what a good version may have', () => {
	expect(describeBadVersion({
		kind: 'failures', route: 'r1' as RouteId, span: 'last 1500 ms', answers: 60, bad: 18, expectedShare: 0.0451,
	})).toEqual('18 failures of 60 on r1, last 1500 ms; at most 4.5% expected');
	expect(describeBadVersion({
		kind: 'slow answers', route: undefined, span: 'since the order', answers: 90, bad: 30, expectedShare: 0.025,
	})).toEqual('30 slow answers of 90 on all routes, since the order; at most 2.5% expected');
});
