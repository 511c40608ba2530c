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
const whole = generateTokens(prompt, 6).join('');

type Scenario = {
	readonly guards: string;
	readonly faults: Partial<EngineFaults>;
	/** Faults of the second engine, which by default are those of the first. */
	readonly otherFaults?: Partial<EngineFaults>;
	readonly query?: Partial<CompletionQuery>;
	readonly options?: LocalFleetOptions;
	check(outcome: CompletionOutcome, fleet: LocalFleet): void | Promise<void>;
};

function expectWhole(outcome: CompletionOutcome): void {
	expect({error: outcome.error?.type, text: outcome.text, isComplete: outcome.isComplete}).toEqual({error: undefined, text: whole, isComplete: true});
}

function countRuns(fleet: LocalFleet, line = prompt): number {
	return fleet.engines.reduce((sum, engine) => sum + (engine.runs.get(line) ?? 0), 0);
}

/** A truthful visible error: an error event, no end marker, and only text of the one answer before it. */
function expectBroken(outcome: CompletionOutcome): void {
	const {isComplete, error} = outcome;
	expect({isComplete, hasError: error !== undefined, notRun: error?.not_run}).toEqual({isComplete: false, hasError: true, notRun: undefined});
	expect(whole.startsWith(outcome.text)).toEqual(true);
}

const scenarios: Scenario[] = [
	{
		guards: 'a broken stream that is not resumed at its offset', faults: {breakAfterChunks: 2},
		async check(outcome, fleet) {
			expectWhole(outcome);
			expect(countRuns(fleet)).toEqual(1);
			expect(await fleet.readCounter('laburnumturn_stream_resumes_total')).toBeGreaterThan(0);
		},
	},
	{
		guards: 'a stream that falls silent between two chunks and is left hanging', faults: {silences: 1}, otherFaults: {},
		options: {engines: 1}, check: expectWhole,
	},
	{
		guards: 'a chunk of another request passed on to the caller', faults: {crossedChunks: 2}, otherFaults: {},
		async check(outcome, fleet) {
			expectWhole(outcome);
			expect(await fleet.readCounter('laburnumturn_dropped_chunks_total', {reason: 'crossed'})).toBeGreaterThan(0);
		},
		options: {engines: 1},
	},
	{
		guards: 'a late chunk of an earlier request passed on to the caller', faults: {lateChunks: 3}, options: {engines: 1}, check: expectWhole,
	},
	{
		guards: 'duplicated chunks passed on or taken for a broken stream', faults: {duplicatedChunks: 4}, options: {engines: 1},
		async check(outcome, fleet) {
			expectWhole(outcome);
			expect(await fleet.readCounter('laburnumturn_dropped_chunks_total', {reason: 'duplicated'})).toBeGreaterThan(0);
		},
	},
	{
		guards: 'an answer of another request passed on to the caller', faults: {crossedAnswers: 1}, options: {engines: 1},
		async check(outcome, fleet) {
			expectWhole(outcome);
			expect(await fleet.readCounter('laburnumturn_dropped_answers_total')).toEqual(1);
		},
	},
	{
		guards: 'an answer of another request that arrives in one piece and ends the process', faults: {crossedAnswers: 3},
		options: {engines: 1, speed: {decodeMsPerToken: 0, prefillTokensPerMs: 100_000}},
		check(outcome) {
			expect(outcome.error?.type).toEqual('answerMismatch');
		},
	},
	{
		guards: 'an end marker that comes before the answer is finished', faults: {earlyEnds: 1}, options: {engines: 1}, check: expectWhole,
	},
	{
		guards: 'two generations spliced into one answer when the engine has gone', faults: {breakAfterChunks: 2, forgetsStreams: true}, check: expectBroken,
	},
	{
		guards: 'an answer that is given up although nothing of it was sent', faults: {breakAfterChunks: 2, forgetsStreams: true}, query: {isStreamed: false},
		otherFaults: {}, check: expectWhole,
	},
	{
		guards: 'a deterministic model whose broken stream is not generated again', faults: {breakAfterChunks: 2, forgetsStreams: true},
		otherFaults: {}, query: {model: 'fixed'},
		check(outcome) {
			expectWhole(outcome);
			expect(new Set(outcome.parts.map(part => part.id)).size).toEqual(1);
		},
	},
	{
		guards: '"not run" after an earlier attempt that ran', faults: {resetsAfterRun: 9}, options: {engines: 1},
		check(outcome, fleet) {
			expect(countRuns(fleet)).toBeGreaterThan(0);
			expect({notRun: outcome.error?.not_run, header: outcome.headers['x-not-run']}).toEqual({notRun: undefined, header: undefined});
		},
	},
	{
		guards: 'a refusal by the target that is not reported as "not run"', faults: {refusals: 9},
		check(outcome, fleet) {
			expect(countRuns(fleet)).toEqual(0);
			expect({status: outcome.status, notRun: outcome.error?.not_run, header: outcome.headers['x-not-run']}).toEqual({status: 503, notRun: true, header: 'true'});
		},
	},
	{
		guards: 'slow headers that hold a caller for ever', faults: {headerDelayMs: 2000},
		check(outcome) {
			expect({type: outcome.error?.type, notRun: outcome.error?.not_run}).toEqual({type: 'targetTimeout', notRun: undefined});
		},
	},
	{
		guards: 'a request that is lost when its connection is reset before it ran', faults: {resetsBeforeRun: 1}, options: {engines: 1}, check: expectWhole,
	},
	{
		guards: 'a deadline that does not end the request', faults: {silentAfterChunks: 1}, options: {silenceMs: 5000}, query: {headers: {'x-timeout-ms': '150'}},
		async check(outcome, fleet) {
			expectBroken(outcome);
			await waitFor(() => fleet.engines.some(engine => engine.cancellations > 0));
			expect(fleet.engines.reduce((sum, engine) => sum + engine.cancellations, 0)).toEqual(1);
		},
	},
];

async function waitUntilSteady(read: () => Promise<number>): Promise<number> {
	let last = -1;
	for (let value = await read(); value === 0 || value !== last; value = await read()) {
		last = value;
		await delay(200);
	}

	return last;
}

for (const scenario of scenarios) {
	test(`guards against ${scenario.guards}`, async () => {
		const fleet = await new LocalFleet({silenceMs: 150, ...scenario.options}).start();
		try {
			for (const [index, engine] of fleet.engines.entries()) {
				Object.assign(engine.faults, index === 1 ? scenario.otherFaults ?? scenario.faults : scenario.faults);
			}

			// Round robin begins with the second engine; a first call makes it the first one's turn.
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

test('guards against a restarted engine that runs a request placed by its former cache', async () => {
	const fleet = await new LocalFleet({engines: 1}).start();
	try {
		const [engine] = fleet.engines;
		engine!.restart();
		const outcome = await callCompletion({address: fleet.address, secret: localSecret, prompt});
		expect({status: outcome.status, notRun: outcome.error?.not_run, runs: countRuns(fleet)}).toEqual({status: 503, notRun: true, runs: 0});
	} finally {
		await fleet.stop();
	}
});

test('guards against a retry under a key that was withdrawn meanwhile, and against "not run" for the attempt before', async () => {
	const fleet = await new LocalFleet({engines: 1}).start();
	try {
		const [engine] = fleet.engines;
		engine!.faults.resetsAfterRun = 1;
		engine!.server.on('request', message => {
			if (message.method === 'POST') {
				fleet.withdrawKey();
			}
		});
		const outcome = await callCompletion({address: fleet.address, secret: localSecret, prompt});
		expect({type: outcome.error?.type, notRun: outcome.error?.not_run, runs: countRuns(fleet)}).toEqual({type: 'outcomeUnknown', notRun: undefined, runs: 1});
	} finally {
		await fleet.stop();
	}
});

test('guards against generation that goes on after the caller has gone', async () => {
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

test('guards against memory that grows with what a slow caller has not read', async () => {
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
		const forwarded = await waitUntilSteady(async () => fleet.readCounter('laburnumturn_stream_chunks_total'));
		expect(forwarded).toBeGreaterThan(0);
		// 200,000 chunks are about 40 MB; socket buffers of both sides hold a part of them.
		expect(forwarded).toBeLessThan(150_000);
		socket.destroy();
	} finally {
		await fleet.stop();
	}
});
