import {test} from 'node:test';
import {expect} from 'earl';
import {createMeasurement} from '../measurement/index.js';
import {formatSlopeTable, replaceTable} from './index.js';

test('keeps the text around the table', () => {
	const page = 'before\n<!-- slopes: start -->\nold\n<!-- slopes: end -->\nafter\n';
	expect(replaceTable(page, 'new')).toEqual('before\n<!-- slopes: start -->\n\nnew\n\n<!-- slopes: end -->\nafter\n');
});

test('guards against overwriting a page that has no markers', () => {
	expect(() => replaceTable('no table here', 'new')).toThrow('markers');
});

test('shows each point, the slope and the fit', () => {
	const table = formatSlopeTable([createMeasurement('x', 'state', 'bytes per key', [{size: 1, value: 10}, {size: 2, value: 20}, {size: 3, value: 30}])]);
	expect(table).toInclude('| state | 1: 10, 2: 20, 3: 30 | 10 bytes per key | 1.000 |');
});
