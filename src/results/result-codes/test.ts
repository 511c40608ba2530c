import {test} from 'node:test';
import {readFile} from 'node:fs/promises';
import {expect} from 'earl';
import {resultCodes} from './index.js';

test('guards against a number that is used twice and a name that differs from its key', () => {
	const entries = Object.entries(resultCodes);
	expect(new Set(entries.map(([, entry]) => entry.code)).size).toEqual(entries.length);
	for (const [key, entry] of entries) {
		expect(entry.name).toEqual(key);
	}
});

test('guards against a code that is missing from or wrong in the table in docs/result-codes.md', async () => {
	const table = await readFile(new URL('../../../docs/result-codes.md', import.meta.url), 'utf8');
	for (const entry of Object.values(resultCodes)) {
		const row = `| ${entry.code} | ${entry.name} | ${entry.httpStatus} | ${entry.notRun ? 'yes' : 'no'} |`;
		expect({entry: entry.name, isListed: table.includes(row)}).toEqual({entry: entry.name, isListed: true});
	}
});
