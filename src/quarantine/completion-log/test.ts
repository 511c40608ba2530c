import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {CompletionLog} from './index.js';

const at = (ms: number) => ms as MonotonicMs;

test('guards against an earlier answer that is heard of later and replaces a later one', () => {
	const log = new CompletionLog<string>();
	log.record('a', at(200));
	log.record('a', at(100));
	expect([log.read('a'), log.read('b')]).toEqual([at(200), undefined]);
	expect([150, 200, 201].map(ms => log.hasCompletedSince('a', at(ms)))).toEqual([true, true, false]);
	expect(log.hasCompletedSince('b', at(0))).toEqual(false);
});

test('guards against memory that grows with the keys that callers send', () => {
	const log = new CompletionLog<string>();
	for (let index = 0; index < 10_000; index += 1) {
		log.record(`k${index}`, at(index));
	}

	expect([log.read('k0'), log.read('k9999')]).toEqual([undefined, at(9999)]);
});
