import process from 'node:process';
import {test} from 'node:test';
import {expect} from 'earl';
import {RandomSource} from '../../random/random-source/index.js';
import {readFeedsMethod} from '../feed-messages/index.js';
import {startGatewayFeeds} from '../../fixtures/start-gateway-feeds/index.js';

test('guards against warnings of a listener leak when all watches break at the same time', async () => {
	const warnings: string[] = [];
	const record = ({name}: Error) => {
		warnings.push(name);
	};

	process.on('warning', record);
	const {clock, objectApi, instances} = startGatewayFeeds(3);
	await clock.advance(500);
	objectApi.setDown(true);
	await clock.advance(2000);
	objectApi.faults.isDown = false;
	await clock.advance(2000);
	for (const {stop} of instances) {
		stop();
	}

	process.off('warning', record);
	expect(warnings).toEqual([]);
});

/** Time for which a sound follower may hear nothing of the object API, in milliseconds: 3 s less 0.5 s for a request under way. */
const silenceLimitMs = 2500;
const apiDelayMs = 100;

type Fleet = ReturnType<typeof startGatewayFeeds>;

const bookmarkIntervalMs = 500;

const listWatching = ({instances}: Fleet) => instances.filter(({feeds}) => (feeds.dump() as {isWatcher: boolean}).isWatcher);

/** Advances the clock while the object API sends bookmarks, as it does while it is available. */
async function advanceWithBookmarks({clock, objectApi}: Fleet, ms: number): Promise<void> {
	for (let passedMs = 0; passedMs < ms; passedMs += bookmarkIntervalMs) {
		objectApi.sendBookmarks();
		await clock.advance(Math.min(bookmarkIntervalMs, ms - passedMs));
	}
}

type Loss = {readonly size: number; readonly seed: number; readonly lostWatchers: 'one' | 'all but one' | 'all'; readonly otherShare: number};

/** Lets instances lose power at the same moment, and measures until when a change right after that reaches all others. */
async function measureSilence({size, seed, lostWatchers, otherShare}: Loss): Promise<number> {
	const fleet = startGatewayFeeds(size);
	const {clock, objectApi, instances} = fleet;
	const random = new RandomSource(seed);
	const configuration = await objectApi.create('configuration', 'main', 1);
	await advanceWithBookmarks(fleet, 4000 + random.pickIndex(1000));
	const watchers = listWatching(fleet);
	const others = instances.filter(instance => !watchers.includes(instance));
	const lostCount = {one: 1, 'all but one': watchers.length - 1, all: watchers.length}[lostWatchers];
	const lost = [...random.pickSome(watchers, lostCount), ...random.pickSome(others, Math.floor(others.length * otherShare))];
	for (const {api} of instances) {
		api.delayMs = apiDelayMs;
	}

	for (const {losePower} of lost) {
		losePower();
	}

	const lostAt = clock.readMonotonic();
	await objectApi.update('configuration', 'main', 2, configuration.resourceVersion);
	const sound = instances.filter(instance => !lost.includes(instance));
	while (sound.some(({applied}) => applied.revisions.at(-1) !== 2) && clock.readMonotonic() < lostAt + 8000) {
		await clock.advance(50);
	}

	for (const {stop} of instances) {
		stop();
	}

	return clock.readMonotonic() - lostAt;
}

for (const size of [62, 195]) {
	for (const lostWatchers of ['one', 'all but one', 'all'] as const) {
		test(`guards against sound followers that hear nothing after ${lostWatchers} of the watchers of ${size} instances have lost power`, async () => {
			const silences: number[] = [];
			for (const seed of size === 62 ? [1, 2, 3, 4, 5, 6] : [1, 2]) {
				silences.push(await measureSilence({
					size, seed, lostWatchers, otherShare: seed % 2 === 0 ? 0.5 : 0,
				}));
			}

			expect(silences.filter(silenceMs => silenceMs >= silenceLimitMs)).toEqual([]);
		});
	}
}

test('guards against object API calls of additional watchers that are not needed, or go on after the regular ones have come back', async () => {
	const fleet = startGatewayFeeds(62);
	const {network, instances} = fleet;
	await advanceWithBookmarks(fleet, 4000);
	const watchers = listWatching(fleet);
	for (const {id} of watchers) {
		network.silence(id, true);
	}

	await advanceWithBookmarks(fleet, 3000);
	const additionalCount = listWatching(fleet).length - watchers.length;
	for (const {id} of watchers) {
		network.silence(id, false);
	}

	await advanceWithBookmarks(fleet, 15_000);
	expect([additionalCount, listWatching(fleet).length]).toEqual([3, 3]);
	for (const {stop} of instances) {
		stop();
	}
});

/** Limit of the answered polls of a follower, in calls a second: one in each pause after a poll that was answered at once. */
const pollRateLimit = 4;

test('guards against a storm of polls while watchers are lost, or while the object API is down', async () => {
	for (const lostWatchers of [0, 1, 2, 3]) {
		const fleet = startGatewayFeeds(62);
		const {clock, objectApi, network, instances} = fleet;
		await advanceWithBookmarks(fleet, 4000);
		objectApi.setDown(lostWatchers === 0);
		for (const {losePower} of listWatching(fleet).slice(0, lostWatchers)) {
			losePower();
		}

		const callsBefore = network.calls.get(readFeedsMethod) ?? 0;
		await (lostWatchers === 0 ? clock.advance(4000) : advanceWithBookmarks(fleet, 4000));
		const callsPerSecond = ((network.calls.get(readFeedsMethod) ?? 0) - callsBefore) / 4;
		expect(callsPerSecond / instances.length <= pollRateLimit).toEqual(true);
		for (const {stop} of instances) {
			stop();
		}
	}
});

/** Time within which a configuration has to be in force, in milliseconds: 3 s less 0.5 s for a request under way. */
const configurationLimitMs = 2500;
const routeCount = 1832;
/** Widths of links, in bytes per millisecond: 7 and 140 Mbit/s. */
const linkWidths = {minimum: 875, maximum: 17_500};

/** Creates a configuration of realistic size and repetition. */
function createLargeConfiguration(revision: number, random: RandomSource) {
	const pickText = (length: number) => Array.from({length}, () => random.pickIndex(36).toString(36)).join('');
	const routes = Array.from({length: routeCount}, () => ({
		name: `r-${pickText(7)}`, host: `${pickText(5)}.example`, 'path-prefix': `/${pickText(7)}/${pickText(4)}/`, kind: 'streaming',
		'timeout-ms': 4000, 'target-latency-ms': random.pickIndex(600), priority: 0, service: `${pickText(4)}11a`, 'max-attempts': 2,
		public: false, 'session-affinity': true, resumable: true, 'gap-aim-ms': 500,
	}));
	return {revision, routes};
}

for (const size of [62, 195]) {
	test(`guards against a large configuration that does not reach ${size} instances over thin links in time, or goes back`, async () => {
		const times: number[] = [];
		for (const seed of size === 62 ? [1, 2, 3] : [1]) {
			const random = new RandomSource(seed);
			const fleet = startGatewayFeeds(size);
			const {clock, objectApi, network, instances} = fleet;
			for (const {id} of instances) {
				network.limitLink(id, linkWidths.minimum + random.pickIndex(linkWidths.maximum - linkWidths.minimum));
			}

			const created = await objectApi.create<unknown>('configuration', 'main', createLargeConfiguration(1, random));
			await advanceWithBookmarks(fleet, 8000 + random.pickIndex(1000));
			for (const {id} of listWatching(fleet)) {
				network.limitLink(id, linkWidths.minimum);
			}

			const changedAt = clock.readMonotonic();
			const second = await objectApi.update<unknown>('configuration', 'main', createLargeConfiguration(2, random), created.resourceVersion);
			await clock.advance(500);
			await objectApi.update<unknown>('configuration', 'main', createLargeConfiguration(3, random), second.resourceVersion);
			while (instances.some(({applied}) => applied.revisions.at(-1) !== 3) && clock.readMonotonic() < changedAt + 15_000) {
				await clock.advance(50);
			}

			times.push(clock.readMonotonic() - changedAt - 500);
			for (const {applied: {revisions}} of instances) {
				expect(revisions).toEqual(revisions.toSorted((a, b) => a - b));
			}

			for (const {stop} of instances) {
				stop();
			}
		}

		expect(times.filter(ms => ms >= configurationLimitMs)).toEqual([]);
	});
}
