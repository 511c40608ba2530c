import {test} from 'node:test';
import {expect} from 'earl';
import {parseLimitMessage} from './index.js';

const target = {target: 't1', startedAt: 1};

test('guards against malformed messages', () => {
	const ask = {
		type: 'ask', ...target, requestsPerSecond: 2, ageMs: 1, asker: 'i1', number: 1, count: 1,
	};
	expect(parseLimitMessage(ask).type).toEqual('ask');
	for (const body of [undefined, 'ask', {...ask, count: 0}, {...ask, count: 1e9}, {...ask, ageMs: -1}, {...ask, requestsPerSecond: null}, {...ask, type: 'other'}]) {
		expect(() => parseLimitMessage(body)).toThrow();
	}
});
