import {test} from 'node:test';
import {connect} from 'node:net';
import {once} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {callCompletion, type CompletionOutcome, type CompletionQuery} from '../../standin/call-completion/index.js';
import type {EngineFaults} from '../../standin/engine-faults/index.js';
import {generateTokens} from '../../standin/generate-tokens/index.js';
import {waitFor} from '../../standin/wait-for/index.js';
import {LocalFleet, localSecret, type LocalFleetOptions} from '../../standin/local-fleet/index.js';

const prompt = 'What is in the catalogue?';
const expectedText = generateTokens(prompt, 6).join('');

type Scenario = {
	readonly failure: string;
	readonly faults: Partial<EngineFaults>;
	/** Faults of the second engine. Defaults to those of the first. */
	readonly otherFaults?: Partial<EngineFaults>;
	readonly query?: Partial<CompletionQuery>;
	readonly options?: LocalFleetOptions;
	check(outcome: CompletionOutcome, fleet: LocalFleet): void | Promise<void>;
};

function expectCompleteText(outcome: CompletionOutcome): void {
	expect({error: outcome.error?.type, text: outcome.text, isComplete: outcome.isComplete}).toEqual({error: undefined, text: expectedText, isComplete: true});
}

/** Expects an error event without an end marker, without `not_run`, and preceded only by text of the expected response. */
function expectVisibleError(outcome: CompletionOutcome): void {
	const {isComplete, error} = outcome;
	expect({isComplete, hasError: error !== undefined, notRun: error?.not_run}).toEqual({isComplete: false, hasError: true, notRun: undefined});
	expect(expectedText.startsWith(outcome.text)).toEqual(true);
}

const scenarios: Scenario[] = [
	{
		failure: 'a broken stream that is not resumed at its offset', faults: {breakAfterChunks: 2},
		async check(outcome, fleet) {
			expectCompleteText(outcome);
			expect(fleet.countRuns(prompt)).toEqual(1);
			expect(await fleet.readCounter('laburnumturn_stream_resumes_total')).toBeGreaterThan(0);
		},
	},
	{
		failure: 'a stream that stalls between two chunks and is never resumed', faults: {silences: 1}, otherFaults: {},
		options: {engines: 1}, check: expectCompleteText,
	},
	{
		failure: 'a chunk of another request being forwarded to the caller', faults: {crossedChunks: 2}, otherFaults: {},
		async check(outcome, fleet) {
			expectCompleteText(outcome);
			expect(await fleet.readCounter('laburnumturn_dropped_chunks_total', {reason: 'crossed'})).toBeGreaterThan(0);
		},
		options: {engines: 1},
	},
	{
		failure: 'a late chunk of an earlier request being forwarded to the caller', faults: {lateChunks: 3}, options: {engines: 1}, check: expectCompleteText,
	},
	{
		failure: 'duplicated chunks being forwarded or treated as a broken stream', faults: {duplicatedChunks: 4}, options: {engines: 1},
		async check(outcome, fleet) {
			expectCompleteText(outcome);
			expect(await fleet.readCounter('laburnumturn_dropped_chunks_total', {reason: 'duplicated'})).toBeGreaterThan(0);
		},
	},
	{
		failure: 'a response to another request being forwarded to the caller', faults: {crossedAnswers: 1}, options: {engines: 1},
		async check(outcome, fleet) {
			expectCompleteText(outcome);
			expect(await fleet.readCounter('laburnumturn_dropped_answers_total')).toEqual(1);
		},
	},
	{
		failure: 'a response to another request that arrives in one piece and crashes the process', faults: {crossedAnswers: 3},
		options: {engines: 1, speed: {decodeMsPerToken: 0, prefillTokensPerMs: 100_000}},
		check(outcome) {
			expect(outcome.error?.type).toEqual('answerMismatch');
		},
	},
	{
		failure: 'an end marker that arrives before the response is complete', faults: {earlyEnds: 1}, options: {engines: 1}, check: expectCompleteText,
	},
	{
		failure: 'two generations mixed in one response when the engine has lost the stream', faults: {breakAfterChunks: 2, forgetsStreams: true}, check: expectVisibleError,
	},
	{
		failure: 'a response that is abandoned although no part of it was sent', faults: {breakAfterChunks: 2, forgetsStreams: true}, query: {isStreamed: false},
		otherFaults: {}, check: expectCompleteText,
	},
	{
		failure: 'a deterministic model whose broken stream is not regenerated', faults: {breakAfterChunks: 2, forgetsStreams: true},
		otherFaults: {}, query: {model: 'fixed'},
		check(outcome) {
			expectCompleteText(outcome);
			expect(new Set(outcome.parts.map(part => part.id)).size).toEqual(1);
		},
	},
	{
		failure: '"not run" being reported although an earlier attempt ran', faults: {resetsAfterRun: 9}, options: {engines: 1},
		check(outcome, fleet) {
			expect(fleet.countRuns(prompt)).toBeGreaterThan(0);
			expect({notRun: outcome.error?.not_run, header: outcome.headers['x-not-run']}).toEqual({notRun: undefined, header: undefined});
		},
	},
	{
		failure: 'a refusal by the target that is not reported as "not run"', faults: {refusals: 9},
		check(outcome, fleet) {
			expect(fleet.countRuns(prompt)).toEqual(0);
			expect({status: outcome.status, notRun: outcome.error?.not_run, header: outcome.headers['x-not-run']}).toEqual({status: 503, notRun: true, header: 'true'});
		},
	},
	{
		failure: 'slow response headers that block a caller indefinitely', faults: {headerDelayMs: 2000},
		check(outcome) {
			expect({type: outcome.error?.type, notRun: outcome.error?.not_run}).toEqual({type: 'targetTimeout', notRun: undefined});
		},
	},
	{
		failure: 'a request that is lost when its connection is reset before it ran', faults: {resetsBeforeRun: 1}, options: {engines: 1}, check: expectCompleteText,
	},
	{
		failure: 'a deadline that does not end the request', faults: {silentAfterChunks: 1}, options: {silenceMs: 5000}, query: {headers: {'x-timeout-ms': '150'}},
		async check(outcome, fleet) {
			expectVisibleError(outcome);
			await waitFor(() => fleet.engines.some(engine => engine.cancellations > 0));
			expect(fleet.engines.reduce((sum, engine) => sum + engine.cancellations, 0)).toEqual(1);
		},
	},
];

async function waitUntilStable(read: () => Promise<number>): Promise<number> {
	let previousValue = -1;
	for (let value = await read(); value === 0 || value !== previousValue; value = await read()) {
		previousValue = value;
		await delay(200);
	}

	return previousValue;
}

for (const scenario of scenarios) {
	test(`guards against ${scenario.failure}`, async () => {
		const fleet = await new LocalFleet({silenceMs: 150, ...scenario.options}).start();
		try {
			for (const [index, engine] of fleet.engines.entries()) {
				Object.assign(engine.faults, index === 1 ? scenario.otherFaults ?? scenario.faults : scenario.faults);
			}

			// Round robin starts with the second engine. One extra call makes the first engine next.
			if (fleet.engines.length > 1) {
				fleet.placement.choose({candidates: fleet.targets.list(), excluded: new Set()} as never);
			}

			const outcome = await callCompletion({
				address: fleet.address, secret: localSecret, prompt, ...scenario.query,
			});
			await scenario.check(outcome, fleet);
		} finally {
			await fleet.stop();
		}
	});
}

test('guards against a restarted engine that runs a request placed by the cache of its former incarnation', async () => {
	const fleet = await new LocalFleet({engines: 1}).start();
	try {
		const [engine] = fleet.engines;
		engine!.restart();
		const outcome = await callCompletion({address: fleet.address, secret: localSecret, prompt});
		expect({status: outcome.status, notRun: outcome.error?.not_run, runs: fleet.countRuns(prompt)}).toEqual({status: 503, notRun: true, runs: 0});
	} finally {
		await fleet.stop();
	}
});

test('guards against a retry with a key that was withdrawn after the first attempt, and against "not run" although that attempt ran', async () => {
	const fleet = await new LocalFleet({engines: 1}).start();
	try {
		const [engine] = fleet.engines;
		Object.assign(engine!.faults, {resetsAfterRun: 1, forgetsStreams: true});
		engine!.server.on('request', message => {
			if (message.method === 'POST') {
				fleet.withdrawKey();
			}
		});
		const outcome = await callCompletion({address: fleet.address, secret: localSecret, prompt});
		expect({type: outcome.error?.type, notRun: outcome.error?.not_run, runs: fleet.countRuns(prompt)}).toEqual({type: 'outcomeUnknown', notRun: undefined, runs: 1});
	} finally {
		await fleet.stop();
	}
});

test('guards against generation that continues after the caller disconnected', async () => {
	const fleet = await new LocalFleet({engines: 1, speed: {decodeMsPerToken: 5}}).start();
	try {
		const outcome = await callCompletion({
			address: fleet.address, secret: localSecret, prompt, maximumTokens: 2000, disconnectAfterChunks: 2,
		});
		expect(outcome.isComplete).toEqual(false);
		await waitFor(() => fleet.engines[0]!.cancellations > 0 && fleet.targets.list()[0]!.ownInFlight === 0);
		expect(fleet.engines[0]!.cancellations).toEqual(1);
		expect(fleet.targets.list()[0]!.ownInFlight).toEqual(0);
	} finally {
		await fleet.stop();
	}
});

test('guards against unbounded buffering for a caller that does not read', async () => {
	const fleet = await new LocalFleet({engines: 1, speed: {decodeMsPerToken: 0}}).start();
	try {
		const [host, port] = fleet.address.split(':');
		const socket = connect(Number(port), host);
		await once(socket, 'connect');
		const body = JSON.stringify({
			model: 'assistant', prompt, stream: true, max_tokens: 200_000,
		});
		socket.write(`POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${localSecret}\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
		socket.pause();
		const forwarded = await waitUntilStable(async () => fleet.readCounter('laburnumturn_stream_chunks_total'));
		expect(forwarded).toBeGreaterThan(0);
		// 200,000 chunks are about 40 MB. The socket buffers of both sides hold part of them.
		expect(forwarded).toBeLessThan(150_000);
		socket.destroy();
	} finally {
		await fleet.stop();
	}
});
