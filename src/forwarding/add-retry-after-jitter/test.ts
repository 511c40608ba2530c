import {test} from 'node:test';
import {expect} from 'earl';
import {addRetryAfterJitter} from './index.js';

test('guards against callers that were refused at one moment and return at one moment', () => {
	const returns = [0, 0.25, 0.5, 0.75].map(draw => addRetryAfterJitter(0.4, draw));
	expect(new Set(returns).size).toEqual(4);
	expect(returns.every(seconds => seconds >= 0.4 && seconds < 0.8)).toEqual(true);
});
