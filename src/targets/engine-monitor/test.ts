import {describe, test} from 'node:test';
import process from 'node:process';
import {expect} from 'earl';
import fc from 'fast-check';
import {
	createBlocks, createEngineMonitor, createEngineState, createQuery, fixtureModel,
} from '../../fixtures/create-engine-monitor/index.js';
import type {Incarnation, MonotonicMs, OrganisationId} from '../../identity/ids/index.js';
import {hashPrompt, pieceBytes} from '../../placement/hash-prompt/index.js';
import {formatQueryScope} from '../../placement/placement/index.js';
import {EngineCache} from '../../standin/engine-cache/index.js';
import type {CacheEvent} from '../engine-client/index.js';

const runCount = Number(process.env.LABURNUMTURN_PROPERTY_RUNS ?? 200);
const prefillTokensPerMs = 20;

describe('EngineMonitor', () => {
	test('guards against counting blocks cached with old weights after new weights are ready', () => {
		const monitor = createEngineMonitor(0, {held: createBlocks('catalogue')});
		const scope = formatQueryScope(createQuery([], []));
		expect(monitor.countCached(createBlocks('catalogue'), scope, 1 as MonotonicMs)).toEqual(6);
		monitor.applyState(createEngineState('life-0', {}, 'v2'), 2 as MonotonicMs);
		expect([monitor.countCached(createBlocks('catalogue'), scope, 3 as MonotonicMs), monitor.cache.needsSnapshot]).toEqual([0, true]);
	});

	test('guards against own requests that are missing from the estimate while the report lags, or counted twice', () => {
		const monitor = createEngineMonitor(0, {running: 3, pendingPrefillTokens: 2000});
		const own = monitor.beginRequest(4000, 10 as MonotonicMs);
		expect(monitor.estimateLoad(10 as MonotonicMs, prefillTokensPerMs)).toEqual({
			occupancy: 4, slots: 16, pendingPrefillTokens: 5800, slotWaitMs: 0,
		});
		own.recordFirstChunk(50 as MonotonicMs);
		expect(monitor.estimateLoad(50 as MonotonicMs, prefillTokensPerMs).pendingPrefillTokens).toEqual(1000);
		own.recordEnd(60 as MonotonicMs);
		expect(monitor.estimateLoad(60 as MonotonicMs, prefillTokensPerMs).occupancy).toEqual(3);
		monitor.applyState(createEngineState('life-0', {running: 3}), 70 as MonotonicMs);
		expect(monitor.estimateLoad(70 as MonotonicMs, prefillTokensPerMs).occupancy).toEqual(3);
	});
});

/** One step of the randomised run: an event at the engine, in the channel or at the router. */
const stepArbitrary = fc.record({
	kind: fc.constantFrom('request', 'request', 'otherRequest', 'otherRequest', 'deliver', 'deliver', 'deliver', 'drop', 'reorder', 'restart', 'newWeights', 'state', 'snapshot'),
	organisation: fc.constantFrom('travel', 'studio'),
	prompt: fc.nat({max: 5}),
});
type Step = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

/** An engine and a router that follows its cache events over a channel that drops, delays and reorders them. */
class RandomisedRun {
	private readonly monitor = createEngineMonitor(0);
	private reported = createEngineState('life-0');
	private restartCount = 0;
	private weightsNumber = 1;
	private cache = this.createCache();
	private readonly channel: CacheEvent[] = [];
	private now = 0;
	/** Prompts sent to the engine, each with incarnation, organisation and weights version. */
	private readonly sent = new Set<string>();

	run(steps: readonly Step[]): void {
		this.readState();
		for (const step of steps) {
			this.now += 100;
			this.runStep(step);
			this.checkCounts();
		}
	}

	private runStep(step: Step): void {
		switch (step.kind) {
			case 'request': {
				this.sendRequest(step.organisation, step.prompt);
				break;
			}

			case 'otherRequest': {
				this.storeOtherRequest(step.organisation, step.prompt);
				break;
			}

			case 'deliver': {
				this.deliver(this.channel.shift());
				break;
			}

			case 'drop': {
				this.channel.shift();
				break;
			}

			case 'reorder': {
				this.channel.reverse();
				break;
			}

			case 'restart': {
				this.restartCount += 1;
				this.cache = this.createCache();
				break;
			}

			case 'newWeights': {
				this.weightsNumber += 1;
				this.cache.clear();
				break;
			}

			case 'state': {
				this.readState();
				break;
			}

			case 'snapshot': {
				this.monitor.cache.applySnapshot(this.cache.readSnapshot());
				break;
			}
		}
	}

	private createCache(): EngineCache {
		const cache = new EngineCache(`life-${this.restartCount}` as Incarnation, 8);
		cache.subscribe(0, event => {
			this.channel.push(event);
		});
		return cache;
	}

	private readState(): void {
		this.reported = createEngineState(`life-${this.restartCount}`, {}, `v${this.weightsNumber}`);
		this.monitor.applyState(this.reported, this.now as MonotonicMs);
	}

	private deliver(event: CacheEvent | undefined): void {
		if (event !== undefined) {
			this.monitor.cache.applyEvent(event);
		}
	}

	/** Sends a request as the router does. An engine whose incarnation or weights differ from the expected ones refuses it. */
	private sendRequest(organisation: string, prompt: number): void {
		const {incarnation, models} = this.reported;
		const {weightsVersion} = models[0]!;
		const {blocks, scope} = createPromptBlocks(organisation, prompt, weightsVersion);
		this.monitor.recordSent(blocks, scope, this.now as MonotonicMs);
		this.sent.add(`${incarnation} ${organisation} ${weightsVersion} ${prompt}`);
		if (incarnation === this.cache.incarnation && weightsVersion === `v${this.weightsNumber}`) {
			this.cache.store(blocks);
		}
	}

	/** Simulates a request of another router that knows the engine's actual state. */
	private storeOtherRequest(organisation: string, prompt: number): void {
		this.cache.store(createPromptBlocks(organisation, prompt, `v${this.weightsNumber}`).blocks);
		this.sent.add(`${this.cache.incarnation} ${organisation} v${this.weightsNumber} ${prompt}`);
	}

	/** Checks that counted blocks were sent to the reported incarnation for the same organisation and weights version. */
	private checkCounts(): void {
		const {incarnation} = this.reported;
		for (const organisation of ['travel', 'studio']) {
			for (let weightsNumber = 1; weightsNumber <= this.weightsNumber; weightsNumber += 1) {
				for (let prompt = 0; prompt <= 5; prompt += 1) {
					const {blocks, scope} = createPromptBlocks(organisation, prompt, `v${weightsNumber}`);
					const counted = this.monitor.countCached(blocks, scope, this.now as MonotonicMs);
					if (counted > 0 && !this.sent.has(`${incarnation} ${organisation} v${weightsNumber} ${prompt}`)) {
						throw new Error(`counted ${counted} blocks of ${organisation} v${weightsNumber} prompt ${prompt} that were never sent to ${incarnation}`);
					}
				}
			}
		}
	}
}

const blocksByPrompt = new Map<string, ReturnType<typeof hashPrompt>>();

function createPromptBlocks(organisation: string, prompt: number, weightsVersion: string) {
	const model = {...fixtureModel, weightsVersion};
	const scope = formatQueryScope({model, organisation: organisation as OrganisationId});
	const blocks = blocksByPrompt.get(`${scope}${prompt}`) ?? hashPrompt({salt: organisation, base: 'base', weightsVersion}, String(prompt).repeat(2 * pieceBytes));
	blocksByPrompt.set(`${scope}${prompt}`, blocks);
	return {blocks, scope};
}

describe('invariant 1', () => {
	for (const seed of [11, 12, 13]) {
		test(`guards against entries of another incarnation, organisation or weights version, seed ${seed}`, () => {
			fc.assert(fc.property(fc.array(stepArbitrary, {minLength: 20, maxLength: 120, size: 'max'}), steps => {
				new RandomisedRun().run(steps);
			}), {seed, numRuns: runCount});
		});
	}
});
