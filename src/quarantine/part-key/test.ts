import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {createPartKey, listSharedPartKeys, splitPartKey} from './index.js';

test('guards against two parts that share a key', () => {
	fc.assert(fc.property(fc.string(), fc.string(), (model, partId) => {
		expect(splitPartKey(createPartKey(model, partId))).toEqual({model, partId});
	}), {seed: 20_261_204});
});

test('leaves out the last part of a prompt, which belongs to one call', () => {
	const parts = ['a', 'b', 'own'].map(id => ({id, tokens: 10}));
	const work = {
		model: 'm', promptTokens: 30, maximumOutputTokens: 5, parts,
	};
	expect(listSharedPartKeys(work)).toEqual([createPartKey('m', 'a'), createPartKey('m', 'b')]);
	expect(listSharedPartKeys({...work, parts: parts.slice(0, 1)})).toEqual([]);
	expect(listSharedPartKeys(undefined)).toEqual([]);
});
