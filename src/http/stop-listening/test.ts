import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {test} from 'node:test';
import {expect} from 'earl';
import {stopListening} from './index.js';

const connectionCount = 40;

test('guards against connections that are reset because they wait to be accepted when the listener closes', async () => {
	const server = createServer(socket => {
		socket.end('accepted');
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const sockets = Array.from({length: connectionCount}, () => connect({host: '127.0.0.1', port}));
	const outcomes = sockets.map(async socket => readOutcome(socket));
	await nextTurn();
	await stopListening(server);
	const results = await Promise.all(outcomes);
	expect(results.filter(result => result !== 'accepted')).toEqual([]);
	expect(server.listening).toEqual(false);
});

test('guards against a listener that stays open while connections keep arriving', async () => {
	const server = createServer(socket => {
		socket.destroy();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	let isStopped = false;
	const connectAgain = () => {
		if (!isStopped) {
			connect({host: '127.0.0.1', port}).on('error', () => {
				// The listener may be closed by now.
			}).on('close', connectAgain);
		}
	};

	for (let index = 0; index < connectionCount; index += 1) {
		connectAgain();
	}

	await stopListening(server);
	isStopped = true;
	expect(server.listening).toEqual(false);
});

async function readOutcome(socket: Socket): Promise<string> {
	return new Promise(resolve => {
		let text = '';
		socket.setEncoding('utf8');
		socket.on('data', (chunk: string) => {
			text += chunk;
		});
		socket.on('error', (error: NodeJS.ErrnoException) => {
			resolve(error.code ?? 'unknown');
		});
		socket.on('end', () => {
			resolve(text);
		});
	});
}
