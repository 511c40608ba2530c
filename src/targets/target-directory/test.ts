import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {request} from 'undici';
import {SystemClock} from '../../clock/clock/index.js';
import {Configuration, type ResolvedTarget} from '../../configuration/configuration/index.js';
import {fixtureModel} from '../../fixtures/create-engine-monitor/index.js';
import type {OrganisationId, Revision, TargetId} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {hashPrompt, pieceBytes} from '../../placement/hash-prompt/index.js';
import {formatQueryScope} from '../../placement/placement/index.js';
import {EngineServer} from '../../standin/engine-server/index.js';
import {HttpEngineClient} from '../http-engine-client/index.js';
import {TargetDirectory} from './index.js';

const scope = formatQueryScope({model: fixtureModel, organisation: 'travel' as OrganisationId});
const timeoutMs = 4000;

/** Starts a stand-in engine and a directory that monitors it over HTTP. */
async function startEngine() {
	const engine = new EngineServer({
		speed: {slots: 4, prefillTokensPerMs: 1000, decodeMsPerToken: 0}, cacheBlocks: 16,
		models: [{base: 'base', weightsVersion: 'v1', state: 'ready'}], checksFencing: false, loadLagMs: 50, eventLagMs: 20, loadMs: 10,
	});
	engine.server.listen(0, '127.0.0.1');
	await once(engine.server, 'listening');
	const address = `127.0.0.1:${(engine.server.address() as AddressInfo).port}`;
	const clock = new SystemClock();
	const directory = new TargetDirectory(clock, quietLogger, target => new HttpEngineClient({address: target.address}));
	const target: Partial<ResolvedTarget> = {
		id: 'worker' as TargetId, type: 'engine', address, state: 'live', models: [fixtureModel.id],
	};
	directory.apply(new Configuration(1 as Revision, {
		organisations: [], keys: [], models: [fixtureModel], routes: [], targets: [target as ResolvedTarget],
	}));
	const monitor = directory.find('worker' as TargetId)!;
	return {
		engine,
		monitor,
		/** Sends a prompt directly to the engine, as another instance would. */
		async sendPrompt(letter: string): Promise<void> {
			const body = JSON.stringify({
				model: 'base', prompt: letter.repeat(2 * pieceBytes), max_tokens: 1, cache_salt: 'organisation:travel', stream: true,
			});
			const response = await request(`http://${address}/v1/completions`, {method: 'POST', body, headers: {'content-type': 'application/json'}});
			await response.body.text();
		},
		/** Waits until the index counts `count` blocks of the prompt. Returns the last count. */
		async waitForCount(letter: string, count: number): Promise<number> {
			const blocks = hashPrompt({salt: 'organisation:travel', base: 'base', weightsVersion: 'v1'}, letter.repeat(2 * pieceBytes));
			const deadline = clock.readMonotonic() + timeoutMs;
			for (;;) {
				const counted = monitor.countCached(blocks, scope, clock.readMonotonic());
				if (counted === count || clock.readMonotonic() > deadline) {
					return counted;
				}

				await delay(10);
			}
		},
		async stop(): Promise<void> {
			await directory.stop();
			engine.server.close();
			engine.server.closeAllConnections();
		},
	};
}

describe('TargetDirectory', () => {
	test('guards against an index that does not follow the cache events, or stays wrong after a lost event', async () => {
		const fixture = await startEngine();
		try {
			await fixture.sendPrompt('a');
			expect(await fixture.waitForCount('a', 2)).toEqual(2);
			fixture.engine.faults.eventLoss = 1;
			await fixture.sendPrompt('b');
			fixture.engine.faults.eventLoss = 0;
			// The next heartbeat, at most 1 s later, reveals the gap. Then a snapshot is read.
			expect(await fixture.waitForCount('b', 2)).toEqual(2);
			expect(fixture.monitor.cache.missedEventCount).toBeGreaterThan(0);
		} finally {
			await fixture.stop();
		}
	});
});
