import type {Socket} from 'node:net';
import {test} from 'node:test';
import {expect} from 'earl';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import {parseAddress} from '../parse-address/index.js';
import {openTargetSocket} from './index.js';

/** Reads from a server that answers with `answer` until the connection ends; returns the text and how it ended. */
async function readAnswer(answer: (socket: Socket) => void): Promise<{text: string; end: string}> {
	const server = await startRawServer(answer);
	try {
		const socket = openTargetSocket(parseAddress(server.address));
		let text = '';
		let end = '';
		return await new Promise(resolve => {
			socket.on('data', data => {
				text += data.toString();
			});
			socket.on('end', () => {
				end = 'ended';
			});
			socket.on('error', error => {
				end = (error as NodeJS.ErrnoException).code ?? '';
			});
			socket.on('close', () => {
				resolve({text, end});
			});
			socket.write('GET / HTTP/1.1\r\n\r\n');
		});
	} finally {
		server.close();
	}
}

test('guards against a reset that looks like an ordinary end because it arrived with the last bytes', async () => {
	expect(await readAnswer(socket => {
		socket.write('text');
		socket.resetAndDestroy();
	})).toEqual({text: 'text', end: 'CONNECTION_RESET'});
});

test('reports a reset that arrives after the last bytes', async () => {
	expect(await readAnswer(socket => {
		socket.write('text');
		setTimeout(() => {
			socket.resetAndDestroy();
		}, 20);
	})).toEqual({text: 'text', end: 'CONNECTION_RESET'});
});

test('guards against an ordinary end that looks like a reset', async () => {
	expect(await readAnswer(socket => {
		socket.end('text');
	})).toEqual({text: 'text', end: 'ended'});
});
