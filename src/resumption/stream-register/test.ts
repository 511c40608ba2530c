import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs, SoftwareVersion} from '../../identity/ids/index.js';
import type {StreamKey} from '../stream-key/index.js';
import {StreamRegister, type StreamRecord} from './index.js';

const at = (ms: number) => ms as MonotonicMs;

function createRecord(key: string, software: string, expiresAt: number, recording = 1): StreamRecord {
	return {
		key: key as StreamKey, software: software as SoftwareVersion, recording, expiresAt: at(expiresAt),
	};
}

test('guards against a record that outlives its caller or ends before it', () => {
	const register = new StreamRegister();
	register.add(createRecord('a', 'v1', 100), at(0));
	register.add(createRecord('a', 'v1', 300), at(50));
	register.add(createRecord('a', 'v1', 200), at(60));
	expect([register.find('a' as StreamKey, at(299)), register.find('a' as StreamKey, at(300))].map(String)).toEqual(['v1', 'undefined']);
	expect(register.changeCount).toEqual(2);
	register.prune(at(300));
	expect(register.size).toEqual(0);
});

test('guards against a request id that is used twice and brings the version of another stream', () => {
	const register = new StreamRegister();
	register.add(createRecord('a', 'v1', 100), at(0));
	register.add(createRecord('a', 'v2', 200), at(10));
	register.add(createRecord('a', 'v2', 300), at(20));
	expect(register.find('a' as StreamKey, at(30))).toEqual('conflicting');
	expect(register.list(at(30))).toEqual([]);
	register.add(createRecord('a', 'v2', 500), at(300));
	expect(String(register.find('a' as StreamKey, at(301)))).toEqual('v2');
});

test('guards against the version of an attempt that brought no event, which counts after the next one', () => {
	const register = new StreamRegister();
	register.add(createRecord('a', 'v1', 100), at(0));
	register.add(createRecord('a', 'v2', 100, 2), at(1));
	register.add(createRecord('a', 'v1', 300), at(2));
	expect(register.list(at(3))).toEqual([createRecord('a', 'v2', 100, 2)]);
});
