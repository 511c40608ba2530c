import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {ServicePace} from '../service-pace/index.js';
import {LearnedSpeed} from './index.js';

const at = (ms: number) => ms as MonotonicMs;
const observation = {workTokens: 4000, ms: 80};

/** Creates the speeds of three targets of one service, each with observations over 20 s at these multiples of the mean time. */
function createSpeeds(...multiples: number[]): LearnedSpeed[] {
	const service = new ServicePace();
	const speeds = multiples.map(() => new LearnedSpeed(service));
	for (let ms = 0; ms < 20_000; ms += 500) {
		for (const [index, speed] of speeds.entries()) {
			speed.recordOwn({workTokens: observation.workTokens, ms: observation.ms * multiples[index]!}, at(ms));
		}
	}

	return speeds;
}

test('guards against targets of unequal speed that count as equal', () => {
	const [fast, mean, slow] = createSpeeds(0.6, 1, 1.4).map(speed => speed.read(at(20_000)));
	expect(fast! > 1.4 && mean! > 0.9 && mean! < 1.1 && slow! < 0.8).toEqual(true);
});

test('takes an unknown target, such as one that has restarted, for one of mean speed', () => {
	expect(new LearnedSpeed(new ServicePace()).read(at(0))).toEqual(1);
	const service = new ServicePace();
	new LearnedSpeed(service).recordOwn(observation, at(0));
	expect(new LearnedSpeed(service).read(at(0))).toEqual(1);
});

test('guards against a speed that outlasts the observations', () => {
	const [fast] = createSpeeds(0.5, 1, 1.5);
	expect(fast!.read(at(20_000)) > 1.4).toEqual(true);
	expect(Math.abs(fast!.read(at(140_000)) - 1) < 0.02).toEqual(true);
});

test('guards against one slow answer that drives calls away from a target', () => {
	const [speed] = createSpeeds(1, 1, 1);
	speed!.recordOwn({workTokens: observation.workTokens, ms: 30_000}, at(20_000));
	expect(speed!.read(at(20_000)) > 0.8).toEqual(true);
});

test('guards against a target that answers without doing the work and draws all calls', () => {
	const [lying] = createSpeeds(0.001, 1, 1);
	expect(lying!.read(at(20_000)) <= 2.5).toEqual(true);
	lying!.recordReported({workTokens: 1e9, ms: 0}, at(20_000));
	lying!.recordReported({workTokens: Number.NaN, ms: 5}, at(20_000));
	expect(lying!.read(at(20_000)) <= 2.5).toEqual(true);
});

test('reports each own observation once, and none that came from other instances', () => {
	const speed = new LearnedSpeed(new ServicePace());
	speed.recordReported(observation, at(0));
	expect(speed.takeUnreported(at(0))).toEqual(undefined);
	speed.recordOwn(observation, at(0));
	speed.recordOwn(observation, at(0));
	expect(speed.takeUnreported(at(0))).toEqual({workTokens: 8000, ms: 160});
	expect(speed.takeUnreported(at(0))).toEqual(undefined);
});
