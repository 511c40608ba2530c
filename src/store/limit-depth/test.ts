import {test} from 'node:test';
import {expect} from 'earl';
import {limitDepth} from './index.js';

const nest = (depth: number) => JSON.parse('['.repeat(depth) + ']'.repeat(depth)) as unknown;

test('guards against a value that ends each instance which formats it', () => {
	for (const depth of [65, 5000, 400_000]) {
		expect(limitDepth({a: 1, b: nest(depth)})).toEqual(null);
	}

	const value = {a: [1, {b: 'x'}], c: nest(60)};
	expect(limitDepth(value) === value).toEqual(true);
});
