import {test} from 'node:test';
import {expect} from 'earl';
import {RemovalLog} from './index.js';

test('lists the removals after a version', () => {
	const log = new RemovalLog();
	log.setVersion('5');
	log.add('a');
	log.setVersion('7');
	log.add('b');
	log.setVersion('9');
	expect(log.listSince('5')).toEqual(['a', 'b']);
	expect(log.listSince('7')).toEqual(['b']);
	expect(log.listSince('9')).toEqual([]);
});

test('guards against a removal that is missed because no version has been set after it yet', () => {
	const log = new RemovalLog();
	log.setVersion('5');
	log.add('a');
	expect(log.listSince('5')).toEqual(['a']);
});

test('guards against an incomplete list for a copy that is older than the log', () => {
	const log = new RemovalLog();
	log.setVersion('5');
	expect(log.listSince('4')).toEqual(undefined);
	for (let index = 0; index < 300; index += 1) {
		log.add(`n${index}`);
		log.setVersion(String(6 + index));
	}

	expect(log.listSince('5')).toEqual(undefined);
	expect(log.listSince('304')).toEqual(['n299']);
});
