import {test} from 'node:test';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import {expect} from 'earl';
import fc from 'fast-check';
import {request} from 'undici';
import VError from 'verror';
import {callCompletion, type CompletionOutcome} from '../call-completion/index.js';
import {callService} from '../call-service/index.js';
import type {CountedEngineFault} from '../engine-faults/index.js';
import {generateTokens} from '../generate-tokens/index.js';
import {LocalFleet, localSecret} from './index.js';

/** The seed is fixed by default; `LABURNUMTURN_RANDOM_SEED` sets another one and `LABURNUMTURN_RANDOM_RUNS` the number of runs. */
const seed = Number(process.env.LABURNUMTURN_RANDOM_SEED ?? 20_261_204);
const runCount = Number(process.env.LABURNUMTURN_RANDOM_RUNS ?? 8);
const answerTokens = 6;

const engineFaults: CountedEngineFault[] = [
	'breaks', 'silences', 'crossedAnswers', 'crossedChunks', 'lateChunks', 'duplicatedChunks', 'earlyEnds', 'resetsBeforeRun', 'resetsAfterRun', 'refusals',
];
const serviceFaults = [
	'lostAnswers', 'resetsBeforeRun', 'resetsOnConnect', 'refusals', 'brokenBodies', 'silentBodies', 'earlyAnswers', 'interimAnswers',
] as const;

const callArbitrary = fc.oneof(
	{
		weight: 3, arbitrary: fc.record({
			kind: fc.constant('completion' as const), isStreamed: fc.boolean(), isChat: fc.boolean(), model: fc.constantFrom('assistant', 'fixed'),
			disconnectAfterChunks: fc.constantFrom(undefined, undefined, undefined, undefined, 1, 3),
		}),
	},
	{
		weight: 2, arbitrary: fc.record({
			kind: fc.constant('service' as const), method: fc.constantFrom('GET', 'POST', 'PUT', 'PATCH'), route: fc.constantFrom('orders', 'payments', 'search'),
			hasKey: fc.boolean(),
		}),
	},
);
const faultArbitrary = fc.oneof(
	fc.record({
		at: fc.constant('engine' as const), index: fc.nat(1), name: fc.constantFrom(...engineFaults), count: fc.integer({min: 1, max: 4}),
	}),
	fc.record({
		at: fc.constant('service' as const), index: fc.nat(1), name: fc.constantFrom(...serviceFaults), count: fc.integer({min: 1, max: 3}),
	}),
	fc.record({
		at: fc.constant('store' as const), index: fc.constant(0), name: fc.constant('lostAnswers' as const), count: fc.integer({min: 1, max: 2}),
	}),
	fc.record({
		at: fc.constant('restart' as const), index: fc.nat(1), name: fc.constant('restart' as const), count: fc.constant(1),
	}),
);
const stepArbitrary = fc.record({
	faults: fc.array(faultArbitrary, {maxLength: 4}),
	calls: fc.array(callArbitrary, {minLength: 4, maxLength: 12}),
});

type Call = typeof callArbitrary extends fc.Arbitrary<infer Value> ? Value : never;
type Fault = typeof faultArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

/** Number of occurrences of each outcome over all runs, to show that calls both succeeded and failed. */
const outcomeCounts = new Map<string, number>();

function countOutcome(outcome: string): void {
	outcomeCounts.set(outcome, (outcomeCounts.get(outcome) ?? 0) + 1);
}

function setFault(fleet: LocalFleet, fault: Fault): void {
	if (fault.at === 'restart') {
		fleet.engines[fault.index]!.restart();
		return;
	}

	const faults = {engine: fleet.engines, service: fleet.services, store: [fleet.objectApi]}[fault.at][fault.index]!.faults as Record<string, unknown>;
	faults[fault.name] = fault.count;
}

function assertRule(isFulfilled: boolean, rule: string, detail: unknown): void {
	if (!isFulfilled) {
		throw new VError('%s: %s', rule, JSON.stringify(detail));
	}
}

function countRuns(targets: ReadonlyArray<{readonly runs: {get(name: string): number | undefined}}>, name: string): number {
	return targets.reduce((sum, target) => sum + (target.runs.get(name) ?? 0), 0);
}

async function checkCompletion(fleet: LocalFleet, call: Call & {kind: 'completion'}, id: string): Promise<void> {
	const prompt = `question ${id}`;
	const {isChat, isStreamed, model, disconnectAfterChunks} = call;
	const outcome: CompletionOutcome = await callCompletion({
		address: fleet.address, secret: localSecret, prompt, isChat, isStreamed, model, maximumTokens: answerTokens, disconnectAfterChunks,
	});
	const expectedText = generateTokens(isChat ? `<user>\n${prompt}\n` : prompt, answerTokens).join('');
	const count = countRuns(fleet.engines, prompt);
	const detail = {
		id, call, outcome, count,
	};
	countOutcome(`completion ${outcome.isComplete ? 'complete' : outcome.error?.type ?? 'disconnected'}`);
	assertRule(expectedText.startsWith(outcome.text), 'an answer contains only text of its own request', detail);
	assertRule(!outcome.isComplete || outcome.text === expectedText, 'a complete answer contains the whole text', detail);
	assertRule(outcome.isComplete || outcome.error !== undefined || disconnectAfterChunks !== undefined, 'an incomplete answer carries an error', detail);
	assertRule(outcome.error?.not_run !== true || count === 0, 'a request reported as not run has not run', detail);
	assertRule(outcome.headers['x-not-run'] === undefined || count === 0, 'a request with x-not-run has not run', detail);
}

async function checkService(fleet: LocalFleet, call: Call & {kind: 'service'}, id: string): Promise<void> {
	const {method, route, hasKey} = call;
	const headers: Record<string, string> = hasKey ? {'idempotency-key': id} : {};
	const query = {
		address: fleet.address, secret: localSecret, method, path: `/${route}/x`, callId: id, body: method === 'GET' ? undefined : '{}',
		headers,
	};
	const outcome = await callService(query);
	const outcomes = hasKey ? [outcome, await callService(query)] : [outcome];
	const isRepeatable = route === 'search' || (route === 'orders' && ['GET', 'PUT'].includes(method));
	const count = countRuns(fleet.services, id);
	const detail = {
		id, call, outcomes, count,
	};
	countOutcome(`service ${outcome.status === 200 ? 'complete' : outcome.error?.type ?? outcome.status}`);
	assertRule(isRepeatable || count <= 1, 'a call that must not be repeated runs at most once', detail);
	const answeredOutcomes = outcomes.filter(each => each.status === 200);
	assertRule(answeredOutcomes.every(each => (JSON.parse(each.text) as {callId: string}).callId === id), 'an answer belongs to its call', detail);
	assertRule(new Set(answeredOutcomes.map(each => each.text)).size <= 1, 'calls with the same idempotency key get the same answer', detail);
	assertRule(answeredOutcomes.length === 0 || count > 0, 'an answered call has run', detail);
	assertRule(outcomes.some(each => each.error?.not_run !== true) || count === 0, 'a request reported as not run has not run', detail);
	assertRule(outcome.error?.not_run !== true || hasKey || count === 0, 'a request reported as not run has not run', detail);
}

test('guards against a /faults endpoint that does not set faults', async () => {
	const fleet = await new LocalFleet({engines: 1, services: 1}).start();
	try {
		for (const [server, fault] of [[fleet.engines[0]!.server, 'refusals'], [fleet.services[0]!.server, 'lostAnswers']] as const) {
			const {port} = server.address() as AddressInfo;
			const answer = await request(`http://127.0.0.1:${port}/faults`, {method: 'POST', body: JSON.stringify({[fault]: 2})});
			expect((await answer.body.json() as Record<string, number>)[fault]).toEqual(2);
		}

		expect([fleet.engines[0]!.faults.refusals, fleet.services[0]!.faults.lostAnswers]).toEqual([2, 2]);
	} finally {
		await fleet.stop();
	}
});

test('guards against lost, misrouted, mixed or repeated answers under random faults', async t => {
	const property = fc.asyncProperty(fc.array(stepArbitrary, {minLength: 2, maxLength: 5}), async steps => {
		const fleet = await new LocalFleet({silenceMs: 100}).start();
		try {
			for (const [number, step] of steps.entries()) {
				for (const fault of step.faults) {
					setFault(fleet, fault);
				}

				await Promise.all(step.calls.map(async (call, index) => call.kind === 'completion'
					? checkCompletion(fleet, call, `${number}-${index}`)
					: checkService(fleet, call, `${number}-${index}`)));
			}

			expect(await fleet.readCounter('laburnumturn_invariant_violations_total')).toEqual(0);
		} finally {
			await fleet.stop();
		}
	});
	await fc.assert(property, {seed, numRuns: runCount, endOnFailure: true});
	t.diagnostic(`seed ${seed}, ${runCount} runs: ${[...outcomeCounts].toSorted(([a], [b]) => a.localeCompare(b)).map(([name, count]) => `${name} ${count}`).join(', ')}`);
	expect((outcomeCounts.get('completion complete') ?? 0) > 0).toEqual(true);
	expect((outcomeCounts.get('service complete') ?? 0) > 0).toEqual(true);
});
