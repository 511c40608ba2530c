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

type Ended = {readonly code: number; readonly output: string; readonly errors: string};

async function runProgram(...programArguments: readonly string[]): Promise<Ended> {
	const {path, execArguments} = locateProgram('laburnumturn');
	return new Promise(resolve => {
		execFile(process.execPath, [...execArguments, path, ...programArguments], (error, output, errors) => {
			resolve({code: Number((error as {code?: number} | null)?.code ?? 0), output, errors});
		});
	});
}

function locate(name: string): string {
	return fileURLToPath(new URL(`../../../examples/${name}`, import.meta.url));
}

describe('the program laburnumturn', () => {
	test('guards against exit codes other than those that docs/cli.md states', async () => {
		const server = createObjectApiServer(new MemoryObjectApi(), {writesPerSecond: 400, readsPerSecond: 2000}).listen(0, '127.0.0.1');
		await once(server, 'listening');
		const api = ['--api', `http://127.0.0.1:${(server.address() as AddressInfo).port}`];
		const key = ['--fleet', 'almaty', '--name', 'second'];
		const applied = await runProgram('apply', ...api, '--output', 'json', locate('almaty/resources.jsonc'));
		expect([applied.code, (JSON.parse(applied.output) as unknown[]).length]).toEqual([0, 23]);
		const created = await runProgram('key', 'create', ...api, ...key, '--organisation', 'studio');
		expect(created.output).toMatchRegex(/secret \(not shown again\): lt_[\w-]{43}/u);
		const ended = await Promise.all([
			runProgram('key', 'create', ...api, ...key, '--organisation', 'studio'),
			runProgram('key', 'withdraw', ...api, ...key),
			runProgram('get', ...api, 'keys', 'almaty.second'),
			runProgram('get', ...api, 'models', 'almaty.none'),
			runProgram('get', ...api, 'engines'),
			runProgram('delete', ...api, 'routes', 'almaty.orders', '--resource-version', '0'),
			runProgram('status', ...api),
			runProgram('apply', ...api, '--wait', '0.3', locate('merge/1-separate.jsonc')),
			runProgram('check', locate('ceara/resources.jsonc'), locate('almaty/resources.jsonc')),
			runProgram('get', '--api', 'http://127.0.0.1:1', 'models'),
			runProgram('frobnicate'),
		]);
		expect(ended.map(({code}) => code)).toEqual([3, 0, 0, 4, 2, 3, 0, 6, 2, 5, 1]);
		expect(ended[2].output).toMatchRegex(/almaty\.second +\d+ +organisation=studio sha256=[\da-f]{64} state=/u);
		expect(ended[8].errors).toMatchRegex(/models\/almaty\.assistant: name: Model "assistant" is used by the fleets almaty and ceara/u);
		server.closeAllConnections();
		server.close();
	});
});
