import {describe, test} from 'node:test';
import {expect} from 'earl';
import {hashPrompt, pieceBytes, type CacheScope} from './index.js';

function createScope(changes: Partial<CacheScope> = {}): CacheScope {
	return {
		salt: 'organisation:a', base: 'base', weightsVersion: 'v1', ...changes,
	};
}

const prompt = 'x'.repeat(3 * pieceBytes);

describe('hashPrompt', () => {
	test('gives prompts with a common prefix the same leading keys', () => {
		const left = hashPrompt(createScope(), `${prompt}${'a'.repeat(pieceBytes)}`);
		const right = hashPrompt(createScope(), `${prompt}${'b'.repeat(pieceBytes)}`);
		expect(left.slice(0, 3)).toEqual(right.slice(0, 3));
		expect(left[3]).not.toEqual(right[3]);
	});

	test('guards against cache entries shared by organisations, adapters or weights versions', () => {
		const scopes = [createScope(), createScope({salt: 'organisation:b'}), createScope({adapter: 'x'}), createScope({weightsVersion: 'v2'})];
		const keys = scopes.flatMap(scope => hashPrompt(scope, prompt));
		expect(new Set(keys).size).toEqual(4 * 3);
	});

	test('guards against a key that ignores the text before its piece', () => {
		const keys = hashPrompt(createScope(), prompt);
		expect(new Set(keys).size).toEqual(3);
	});
});
