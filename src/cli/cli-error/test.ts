import {execFile} from 'node:child_process';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import {describe, test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {expect} from 'earl';
import {MemoryObjectApi} from '../../store/memory-object-api/index.js';
import {locateProgram} from '../../process/start-process/index.js';
import {createObjectApiServer} from '../../standin/object-api-server/index.js';

type ProgramResult = {readonly code: number; readonly output: string; readonly errors: string};

async function runProgram(...programArguments: readonly string[]): Promise<ProgramResult> {
	const {path, execArguments} = locateProgram('laburnumturn');
	return new Promise(resolve => {
		execFile(process.execPath, [...execArguments, path, ...programArguments], (error, output, errors) => {
			resolve({code: Number((error as {code?: number} | null)?.code ?? 0), output, errors});
		});
	});
}

function locateExample(name: string): string {
	return fileURLToPath(new URL(`../../../examples/${name}`, import.meta.url));
}

describe('laburnumturn', () => {
	test('guards against exit codes other than those that docs/cli.md states', async () => {
		const server = createObjectApiServer(new MemoryObjectApi(), {writesPerSecond: 400, readsPerSecond: 2000}).listen(0, '127.0.0.1');
		await once(server, 'listening');
		const apiOptions = ['--api', `http://127.0.0.1:${(server.address() as AddressInfo).port}`];
		const keyOptions = ['--fleet', 'almaty', '--name', 'second'];
		const applied = await runProgram('apply', ...apiOptions, '--output', 'json', locateExample('almaty/resources.jsonc'));
		expect([applied.code, (JSON.parse(applied.output) as unknown[]).length]).toEqual([0, 23]);
		const created = await runProgram('key', 'create', ...apiOptions, ...keyOptions, '--organisation', 'studio');
		expect(created.output).toMatchRegex(/secret \(not shown again\): lt_[\w-]{43}/u);
		const results = await Promise.all([
			runProgram('key', 'create', ...apiOptions, ...keyOptions, '--organisation', 'studio'),
			runProgram('key', 'withdraw', ...apiOptions, ...keyOptions),
			runProgram('get', ...apiOptions, 'keys', 'almaty.second'),
			runProgram('get', ...apiOptions, 'models', 'almaty.none'),
			runProgram('get', ...apiOptions, 'engines'),
			runProgram('delete', ...apiOptions, 'routes', 'almaty.orders', '--resource-version', '0'),
			runProgram('status', ...apiOptions),
			runProgram('apply', ...apiOptions, '--wait', '0.3', locateExample('merge/1-separate.jsonc')),
			runProgram('check', locateExample('ceara/resources.jsonc'), locateExample('almaty/resources.jsonc')),
			runProgram('get', '--api', 'http://127.0.0.1:1', 'models'),
			runProgram('frobnicate'),
		]);
		expect(results.map(({code}) => code)).toEqual([3, 0, 0, 4, 2, 3, 0, 6, 2, 5, 1]);
		expect(results[2].output).toMatchRegex(/almaty\.second +\d+ +organisation=studio sha256=[\da-f]{64} state=/u);
		expect(results[8].errors).toMatchRegex(/models\/almaty\.assistant: name: Model "assistant" is used by the fleets almaty and ceara/u);
		server.closeAllConnections();
		server.close();
	});
});
