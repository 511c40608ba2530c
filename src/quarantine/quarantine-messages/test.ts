import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {InstanceId, MonotonicMs, TargetId} from '../../identity/ids/index.js';
import {createPartKey} from '../part-key/index.js';
import {formatNews, parseNews, type QuarantineNews} from './index.js';

const at = (ms: number) => ms as MonotonicMs;
/** Matches the times in news as JSON. */
const timePattern = /(?<="(?:crashedAt|sentAt|completedAt|endsAt|decidedAt|announcedAt)":)\d+/gu;
const part = createPartKey('model-1', 'a');

/** Creates one piece of news of each type, as known at 1000. */
function createNews(): QuarantineNews[] {
	return [
		{
			type: 'crash', crash: {
				target: 'e1' as TargetId, startedAt: 17, crashedAt: at(900), prompts: [{parts: [part], sentAt: at(700)}],
			},
		},
		{type: 'clearance', clearances: [{part, completedAt: at(950)}]},
		{
			type: 'quarantine', notice: {
				quarantine: {
					key: part, crashes: 4, durationMs: 600_000, endsAt: at(601_000),
				}, decidedAt: at(1000),
			},
		},
		{
			type: 'trial', part, instance: 'i1' as InstanceId, announcedAt: at(990),
		},
	];
}

test('guards against times of one clock that are used on another: they are sent as ages', () => {
	for (const news of createNews()) {
		const datagram = JSON.stringify(formatNews(news, at(1000)));
		expect(parseNews(JSON.parse(datagram), at(1000))).toEqual(news);
		const shifted = JSON.stringify(parseNews(JSON.parse(datagram), at(51_000)));
		expect(shifted).toEqual(JSON.stringify(news).replaceAll(timePattern, time => String(Number(time) + 50_000)));
	}
});

test('guards against a malformed message that ends the process or enters the ledger: only TypeErrors are thrown', () => {
	const messages = createNews().map(news => formatNews(news, at(1000)));
	const mutation = fc.record({
		message: fc.constantFrom(...messages),
		field: fc.constantFrom('type', 'target', 'startedAt', 'ageMs', 'prompts', 'part', 'crashes', 'durationMs', 'remainingMs', 'clearances', 'instance'),
		value: fc.jsonValue(),
	});
	fc.assert(fc.property(fc.oneof(fc.jsonValue(), mutation.map(({message, field, value}) => ({...message, [field]: value}))), body => {
		try {
			const news = parseNews(body, at(1000));
			expect(createNews().some(({type}) => type === news.type)).toEqual(true);
		} catch (error) {
			expect(error instanceof TypeError).toEqual(true);
		}
	}), {seed: 20_261_204, numRuns: 2000});
});

test('guards against a message that takes unbounded memory', () => {
	const prompts = Array.from({length: 9}, () => [1, [part]]);
	expect(() => parseNews({
		type: 'crash', target: 'e1', startedAt: 1, ageMs: 1, prompts,
	}, at(1000))).toThrow(TypeError);
	expect(() => parseNews({type: 'clearance', clearances: [['x'.repeat(201), 1]]}, at(1000))).toThrow(TypeError);
});
