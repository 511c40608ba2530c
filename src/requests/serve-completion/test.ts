import {after, before, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {parseSettings} from '../../daemon/settings/index.js';
import {startDaemon, type Daemon} from '../../daemon/start-daemon/index.js';
import {createDemoResources, demoSecrets} from '../../demo/create-demo-resources/index.js';
import {MemoryObjectApi} from '../../store/memory-object-api/index.js';
import {reservePorts} from '../../process/reserve-ports/index.js';
import {collectionByKind, formatObjectName} from '../../resources/schemas/index.js';
import {callCompletion, type CompletionOutcome, type CompletionQuery} from '../../standin/call-completion/index.js';
import {EngineServer} from '../../standin/engine-server/index.js';
import {generateTokens} from '../../standin/generate-tokens/index.js';
import {waitFor} from '../../standin/wait-for/index.js';
import {createObjectApiServer} from '../../standin/object-api-server/index.js';

const prompt = 'Which tours run on Sunday?';
const speed = {slots: 8, prefillTokensPerMs: 1000, decodeMsPerToken: 2};
const engine = new EngineServer({
	speed, cacheBlocks: 64, models: [{base: 'base', weightsVersion: 'v1', state: 'ready'}], checksFencing: true, loadLagMs: 50, eventLagMs: 10, loadMs: 10,
});
const store = new MemoryObjectApi();
const storeServer = createObjectApiServer(store, {writesPerSecond: 400, readsPerSecond: 2000});
let daemon: Daemon;

async function call(query: Partial<CompletionQuery> = {}): Promise<CompletionOutcome> {
	return callCompletion({
		address: daemon.address, secret: demoSecrets.north, prompt, ...query,
	});
}

before(async () => {
	const ports = await reservePorts(5);
	const [enginePort, storePort, ...instancePorts] = ports;
	engine.server.listen(enginePort, '127.0.0.1');
	storeServer.listen(storePort, '127.0.0.1');
	const unreachableServers = {engines: [], service: '127.0.0.1:9'};
	for (const resource of createDemoResources({north: {engines: [`127.0.0.1:${enginePort}`], service: '127.0.0.1:9'}, south: unreachableServers})) {
		await store.create(collectionByKind[resource.kind], formatObjectName(resource), resource);
	}

	const [caller, peer, admin] = instancePorts.map(port => `127.0.0.1:${port}`);
	const settings = {
		instance: 'entry-0', fleet: 'north', dataCentre: 'north-0', listen: {caller, peer, admin}, platform: {objectApi: `http://127.0.0.1:${storePort}`},
	};
	daemon = await startDaemon(parseSettings(JSON.stringify(settings), 'test'));
	for (let attempt = 0; attempt < 200; attempt += 1) {
		const {status} = await call();
		if (status === 200) {
			break;
		}

		await delay(50);
	}
});

after(async () => {
	await daemon.stop();
	for (const server of [engine.server, storeServer]) {
		server.close();
		server.closeAllConnections();
	}
});

const expectedText = generateTokens(prompt, 6).join('');
const expectedChat = generateTokens(`<user>\n${prompt}\n`, 6).join('');

test('guards against an unstreamed response that differs from the public API format', async () => {
	for (const isChat of [false, true]) {
		const outcome = await call({isChat, isStreamed: false});
		const [answer] = outcome.parts;
		const [choice] = answer!.choices;
		expect({
			text: outcome.text, model: answer!.model, object: answer!.object, reason: choice!.finish_reason, role: choice!.message?.role,
		}).toEqual({
			text: isChat ? expectedChat : expectedText, model: 'assistant', object: isChat ? 'chat.completion' : 'text_completion', reason: 'length',
			role: isChat ? 'assistant' : undefined,
		});
		const {usage} = answer!;
		expect([usage!.completion_tokens, usage!.total_tokens]).toEqual([6, usage!.prompt_tokens + 6]);
	}
});

test('guards against a stream that differs from the public API format', async () => {
	const outcome = await call({isChat: true});
	expect({text: outcome.text, isComplete: outcome.isComplete, type: outcome.headers['content-type']})
		.toEqual({text: expectedChat, isComplete: true, type: 'text/event-stream; charset=utf-8'});
	expect(outcome.parts.map(part => part.choices[0]!.delta!.role)).toEqual(['assistant', undefined, undefined, undefined, undefined, undefined]);
	expect(outcome.parts.map(part => part.choices[0]!.finish_reason)).toEqual([null, null, null, null, null, 'length']);
	expect(new Set(outcome.parts.map(part => `${part.id} ${part.created} ${part.model} ${part.object}`)).size).toEqual(1);
	expect([outcome.parts[0]!.id.startsWith('chatcmpl-'), outcome.parts[0]!.model, 'usage' in outcome.parts[0]!]).toEqual([true, 'assistant', false]);
});

test('guards against a usage chunk that is missing or that was not requested', async () => {
	const outcome = await call({body: {stream_options: {include_usage: true}}});
	const last = outcome.parts.at(-1)!;
	expect([outcome.parts.length, last.choices.length, last.usage!.completion_tokens]).toEqual([7, 0, 6]);
	expect(outcome.parts.slice(0, -1).every(part => part.usage === null)).toEqual(true);
});

test('guards against errors that differ from the public API format', async () => {
	const cases: Array<[Partial<CompletionQuery>, number, string]> = [
		[{model: 'absent'}, 404, 'notFound'],
		[{secret: 'unknown'}, 401, 'unauthenticated'],
		[{body: {max_tokens: 'many'}}, 400, 'malformedRequest'],
	];
	for (const [query, status, type] of cases) {
		const {error, ...outcome} = await call(query);
		expect({
			status: outcome.status, type: error?.type, hasMessage: error!.message.length > 0, header: outcome.headers['x-result-code'], notRun: error?.not_run,
		})
			.toEqual({
				status, type, hasMessage: true, header: String(error!.code), notRun: true,
			});
	}
});

test('guards against work that continues for a caller that disconnected in mid-stream', async () => {
	const cancellationsBefore = engine.cancellations;
	const {isComplete, parts} = await call({maximumTokens: 2000, disconnectAfterChunks: 3});
	expect([isComplete, parts.length < 2000]).toEqual([false, true]);
	await waitFor(() => engine.cancellations > cancellationsBefore);
	expect(engine.cancellations).toEqual(cancellationsBefore + 1);
	const next = await call();
	expect(next.text).toEqual(expectedText);
});
