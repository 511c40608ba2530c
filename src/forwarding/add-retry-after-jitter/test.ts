import {test} from 'node:test';
import {expect} from 'earl';
import {addRetryAfterJitter} from './index.js';

test('guards against simultaneous retries of callers that were refused at the same moment', () => {
	const delaysSeconds = [0, 0.25, 0.5, 0.75].map(random => addRetryAfterJitter(0.4, random));
	expect(new Set(delaysSeconds).size).toEqual(4);
	expect(delaysSeconds.every(seconds => seconds >= 0.4 && seconds < 0.8)).toEqual(true);
});
