import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {InstanceId, MonotonicMs, TargetId} from '../../identity/ids/index.js';
import type {RequestKey} from '../request-key/index.js';
import {
	formatRequestNews, maximumRequestsPerMessage, parseRequestNews, type RequestNews,
} from './index.js';

const at = (ms: number) => ms as MonotonicMs;
const key = '0123456789abcdef0123456789abcdef' as RequestKey;
const news: readonly RequestNews[] = [
	{
		type: 'crash', crash: {
			target: 't1' as TargetId, startedAt: 17, crashedAt: at(900), requests: [{key, sentAt: at(700)}],
		},
	},
	{type: 'clearance', key, completedAt: at(950)},
	{
		type: 'quarantine', decidedAt: at(990), quarantine: {
			key, crashes: 3, durationMs: 10_000, endsAt: at(11_000),
		},
	},
	{
		type: 'trial', key, instance: 'i1' as InstanceId, announcedAt: at(980),
	},
];

test('carries news to an instance whose clock differs', () => {
	const transfer = (message: RequestNews) => {
		const text = JSON.stringify(formatRequestNews(message, at(1000)));
		return JSON.parse(text) as unknown;
	};

	expect(news.map(message => parseRequestNews(transfer(message), at(1000)))).toEqual([...news]);
	expect(parseRequestNews(transfer(news[1]!), at(5000))).toEqual({type: 'clearance', key, completedAt: at(4950)});
});

test('guards against malformed messages: they are refused with a type error and nothing else', () => {
	const fields = fc.dictionary(fc.constantFrom('type', 'target', 'startedAt', 'ageMs', 'requests', 'key', 'crashes', 'durationMs', 'remainingMs', 'instance'), fc.anything());
	const types = fc.constantFrom('crash', 'clearance', 'quarantine', 'trial', 'other');
	fc.assert(fc.property(fc.oneof(fc.anything(), fc.tuple(types, fields).map(([type, other]) => ({...other, type}))), body => {
		try {
			parseRequestNews(body, at(1000));
		} catch (error) {
			expect(error instanceof TypeError).toEqual(true);
		}
	}), {seed: 1, numRuns: 500});
});

test('guards against keys of another form and lists that are too long', () => {
	expect(() => parseRequestNews({type: 'clearance', key: 'model/part', ageMs: 1}, at(1000))).toThrow();
	const requests = Array.from({length: maximumRequestsPerMessage + 1}, () => [key, 1]);
	expect(() => parseRequestNews({
		type: 'crash', target: 't', startedAt: 1, ageMs: 1, requests,
	}, at(1000))).toThrow();
});
