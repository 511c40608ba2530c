import {test} from 'node:test';
import {expect} from 'earl';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import type {RequestId} from '../../identity/ids/index.js';
import {type RouterError} from '../../results/create-router-error/index.js';
import {HttpEngineClient} from './index.js';

/** Returns whether the client takes a refusal with the given header lines for "not run". */
async function readRefusal(headerLines: string): Promise<{readonly name: string; readonly notRun: boolean}> {
	const server = await startRawServer(socket => {
		socket.end(`HTTP/1.1 503 Busy\r\nx-not-run: true\r\n${headerLines}Content-Length: 0\r\n\r\n`);
	});
	const client = new HttpEngineClient({address: server.address});
	try {
		await client.complete({requestId: 'r1' as RequestId, path: '/v1/completions', body: {}}, AbortSignal.timeout(1000));
		throw new Error('the refusal was taken for an answer');
	} catch (error) {
		const {entry, notRun} = error as RouterError;
		return {name: entry.name, notRun};
	} finally {
		server.close();
	}
}

test('guards against the refusal of another request, written once more: its own outcome is unknown', async () => {
	expect(await readRefusal('x-request-id: r0\r\n')).toEqual({name: 'answerMismatch', notRun: false});
	expect(await readRefusal('x-request-id: r1\r\n')).toEqual({name: 'targetRefused', notRun: true});
	expect(await readRefusal('')).toEqual({name: 'targetRefused', notRun: true});
});
