import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import {SettingsStore} from './index.js';

const createSettings = (changes: Record<string, unknown> = {}) => ({
	instance: 'i1', dataCentre: 'dc-1', region: 'r1', objectApi: '127.0.0.1:1', seeds: [],
	listen: {
		caller: '127.0.0.1:1', readiness: '127.0.0.1:2', directory: '127.0.0.1:3', peer: '127.0.0.1:4', admin: '127.0.0.1:5',
	},
	retryBudget: {ratio: 0.2, extra: 50}, quotaTolerance: {ratio: 0.1, extraTokens: 1000}, weightsLimitMs: 10_000, graceMs: 8000, ...changes,
});

function createStore() {
	const events: string[] = [];
	const log = (event: string) => {
		events.push(event);
	};

	const logger: EventLogger = {info: log, warn: log, error: log};
	const file = {text: JSON.stringify(createSettings())};
	const clock = new ManualClock();
	const store = new SettingsStore({file: 'settings.jsonc', readText: () => file.text, clock});
	return {
		events, file, logger, clock, store,
	};
}

test('guards against a changed file that takes effect only at the next start', () => {
	const {file, logger, store, events} = createStore();
	const {revision} = store;
	let changes = 0;
	store.onChange(() => {
		changes += 1;
	});
	file.text = JSON.stringify(createSettings({graceMs: 5000, region: 'r2'}));
	store.reload(logger);
	expect([store.current.graceMs, store.current.region, changes]).toEqual([5000, 'r1', 1]);
	expect(store.revision === revision).toEqual(false);
	expect((store.dump() as {pendingSettings: string[]}).pendingSettings).toEqual(['region']);
	expect(events).toEqual(['settings applied']);
});

test('guards against settings that are applied in part: a file with one wrong field changes nothing', () => {
	const {file, logger, store, events} = createStore();
	const {revision} = store;
	file.text = JSON.stringify(createSettings({graceMs: 5000, weightsLimitMs: -1}));
	store.reload(logger);
	store.reload(logger);
	expect([store.current.graceMs, store.revision]).toEqual([8000, revision]);
	expect(events).toEqual(['settings refused']);
	expect((store.dump() as {refusal: string}).refusal.includes('weightsLimitMs')).toEqual(true);
});

test('guards against an unreadable file that ends the process', () => {
	const {file, logger, store, events} = createStore();
	Object.defineProperty(file, 'text', {
		get() {
			throw new Error('no such file');
		},
	});
	store.reload(logger);
	expect([store.current.graceMs, events]).toEqual([8000, ['settings refused']]);
});

test('notices a change without a signal', async () => {
	const {file, logger, store, clock} = createStore();
	const controller = new AbortController();
	void store.run(logger, controller.signal);
	file.text = JSON.stringify(createSettings({graceMs: 5000}));
	await clock.advance(5000);
	expect(store.current.graceMs).toEqual(5000);
	controller.abort();
});

test('guards against settings without a window of retries, as earlier templates have them, that are refused', () => {
	const {store} = createStore();
	expect(store.current.retryBudget).toEqual({ratio: 0.2, extra: 50, windowMs: 10_000});
});
