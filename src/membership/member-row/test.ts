import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {InstanceId, Revision} from '../../identity/ids/index.js';
import {formatMemberRow, parseMemberRow} from './index.js';

test('parses what it formats', () => {
	const entry = {
		id: 'i1' as InstanceId, life: '12345678', state: 'leaving', revision: -1 as Revision, counter: 7, ageMs: 20,
	} as const;
	expect(parseMemberRow(structuredClone(formatMemberRow(entry)))).toEqual(entry);
});

test('guards against members built from malformed rows', () => {
	fc.assert(fc.property(fc.jsonValue(), row => {
		try {
			const entry = parseMemberRow(row);
			return entry.id.length > 0 && entry.counter >= 0 && Number.isFinite(entry.ageMs);
		} catch (error) {
			return error instanceof TypeError;
		}
	}), {numRuns: 500, seed: 1});
});
