import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {callCompletion, type CompletionOutcome, type CompletionQuery} from '../../standin/call-completion/index.js';
import {generateTokens} from '../../standin/generate-tokens/index.js';
import {LocalFleet, localSecret} from '../../standin/local-fleet/index.js';
import {waitFor} from '../../standin/wait-for/index.js';

const prompt = 'What is in the catalogue?';

/** Starts a completion of 100 tokens in 500 ms, and removes its engine from the configuration once the first chunks have been passed on. */
async function callAndRemoveEngine(fleet: LocalFleet, query: Partial<CompletionQuery> = {}): Promise<CompletionOutcome> {
	const outcome = callCompletion({
		address: fleet.address, secret: localSecret, prompt, maximumTokens: 100, ...query,
	});
	await waitFor(() => fleet.targets.list()[0]!.ownInFlight > 0 && fleet.countRuns(prompt) > 0);
	await delay(100);
	fleet.removeEngines();
	return outcome;
}

test('guards against an answer that is cut, or is unknown to the caller, because a configuration without its engine comes into force', async () => {
	for (const isStreamed of [true, false]) {
		const fleet = await new LocalFleet({engines: 1, speed: {decodeMsPerToken: 5}}).start();
		try {
			const outcome = await callAndRemoveEngine(fleet, {isStreamed});
			expect({error: outcome.error?.type, text: outcome.text, isComplete: outcome.isComplete})
				.toEqual({error: undefined, text: generateTokens(prompt, 100).join(''), isComplete: true});
			expect(fleet.countRuns(prompt)).toEqual(1);
		} finally {
			await fleet.stop();
		}
	}
});

test('guards against generation that continues at a removed engine after the caller disconnected, and connections to it that stay open', async () => {
	const fleet = new LocalFleet({engines: 1, speed: {decodeMsPerToken: 5}});
	const [engine] = fleet.engines;
	let openConnections = 0;
	engine!.server.on('connection', socket => {
		openConnections += 1;
		socket.once('close', () => {
			openConnections -= 1;
		});
	});
	await fleet.start();
	try {
		await callAndRemoveEngine(fleet, {maximumTokens: 2000, disconnectAfterChunks: 60});
		await waitFor(() => engine!.cancellations > 0 && openConnections === 0);
		expect({cancellations: engine!.cancellations, openConnections}).toEqual({cancellations: 1, openConnections: 0});
	} finally {
		await fleet.stop();
	}
});

/** Starts a completion of 100 tokens in 500 ms, and interrupts the connections to its engine once the first chunks have been passed on. */
async function callAndInterruptEngine(fleet: LocalFleet, query: Partial<CompletionQuery> = {}): Promise<CompletionOutcome> {
	const outcome = callCompletion({
		address: fleet.address, secret: localSecret, prompt, maximumTokens: 100, ...query,
	});
	await waitFor(() => fleet.countRuns(prompt) > 0);
	await delay(100);
	const engine = fleet.engines.find(({runs}) => runs.has(prompt));
	await engine!.interruptConnections(1000);
	return outcome;
}

test('guards against a run that is given up while its engine is out of reach for a second, although nothing can take its place', async () => {
	const calls = [
		{engines: 1, query: {isStreamed: false}, name: 'no other engine'},
		{engines: 2, query: {isStreamed: true}, name: 'a part of a non-deterministic response sent'},
	];
	for (const {engines, query, name} of calls) {
		const fleet = await new LocalFleet({engines, silenceMs: 5000, speed: {decodeMsPerToken: 5}}).start();
		try {
			const outcome = await callAndInterruptEngine(fleet, query);
			expect({
				name, error: outcome.error?.type, isComplete: outcome.isComplete, runs: fleet.countRuns(prompt),
			}).toEqual({
				name, error: undefined, isComplete: true, runs: 1,
			});
			expect(outcome.text).toEqual(generateTokens(prompt, 100).join(''));
		} finally {
			await fleet.stop();
		}
	}
});

test('guards against a caller that waits for an engine out of reach although another one can take the call over', async () => {
	const fleet = await new LocalFleet({engines: 2, silenceMs: 5000, speed: {decodeMsPerToken: 5}}).start();
	try {
		let isBack = false;
		const outcome = callAndInterruptEngine(fleet, {isStreamed: false}).finally(() => {
			isBack = true;
		});
		await waitFor(() => fleet.countRuns(prompt) === 2, 1000);
		expect({runs: fleet.countRuns(prompt), isBack}).toEqual({runs: 2, isBack: false});
		const {isComplete} = await outcome;
		expect(isComplete).toEqual(true);
	} finally {
		await fleet.stop();
	}
});

test('guards against a run that is given up because its connection broke before the head of the answer', async () => {
	const fleet = await new LocalFleet({engines: 2, silenceMs: 5000}).start();
	try {
		for (const engine of fleet.engines) {
			engine.faults.resetsAfterRun = 1;
		}

		const outcome = await callCompletion({address: fleet.address, secret: localSecret, prompt});
		expect({error: outcome.error?.type, isComplete: outcome.isComplete}).toEqual({error: undefined, isComplete: true});
		expect(fleet.countRuns(prompt)).toEqual(1);
	} finally {
		await fleet.stop();
	}
});

test('guards against a run that is given up while its only engine is out of reach before the head of the answer', async () => {
	const fleet = await new LocalFleet({engines: 1, silenceMs: 5000, speed: {prefillTokensPerMs: 0.01}}).start();
	try {
		const outcome = callCompletion({address: fleet.address, secret: localSecret, prompt});
		await waitFor(() => fleet.countRuns(prompt) > 0);
		await fleet.engines[0]!.interruptConnections(1000);
		const {error, isComplete} = await outcome;
		expect({error: error?.type, isComplete, runs: fleet.countRuns(prompt)}).toEqual({error: undefined, isComplete: true, runs: 1});
	} finally {
		await fleet.stop();
	}
});

test('guards against a run that goes on after its caller has left because its engine was out of reach at that moment', async () => {
	const fleet = await new LocalFleet({engines: 1, silenceMs: 5000, speed: {decodeMsPerToken: 5}}).start();
	try {
		const headers = {'x-timeout-ms': '400'};
		const outcome = await callAndInterruptEngine(fleet, {maximumTokens: 2000, headers});
		expect(outcome.isComplete).toEqual(false);
		await waitFor(() => fleet.engines[0]!.cancellations > 0);
		expect(fleet.engines[0]!.cancellations).toEqual(1);
	} finally {
		await fleet.stop();
	}
});

test('guards against resumes of a stream that its engine no longer has', async () => {
	const fleet = await new LocalFleet({engines: 1, silenceMs: 5000}).start();
	try {
		Object.assign(fleet.engines[0]!.faults, {breakAfterChunks: 2, forgetsStreams: true});
		const outcome = await callCompletion({address: fleet.address, secret: localSecret, prompt});
		expect({isComplete: outcome.isComplete, error: outcome.error?.type}).toEqual({isComplete: false, error: 'streamBroken'});
		expect(await fleet.readCounter('laburnumturn_stream_resumes_total')).toEqual(1);
	} finally {
		await fleet.stop();
	}
});
