import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {connect} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {test} from 'node:test';
import {expect} from 'earl';
import {waitForArrivedData} from './index.js';

/** Program of a server that sends a byte and ends the connection 200 ms after a client has connected. */
const serverProgram = `
	const server = require('node:net').createServer(socket => {
		setTimeout(() => socket.end('x'), 200);
	});
	server.listen(0, '127.0.0.1', () => console.log(server.address().port));
`;

test('guards against judging a connection by less than what had arrived on it while the process stood still', async t => {
	const child = spawn(process.execPath, ['-e', serverProgram], {stdio: ['ignore', 'pipe', 'inherit']});
	t.after(() => {
		child.kill();
	});
	const [port] = await once(child.stdout, 'data') as [Buffer];
	const socket = connect(Number(String(port)), '127.0.0.1');
	await once(socket, 'connect');
	let received = '';
	let hasEnded = false;
	socket.on('data', data => {
		received += data.toString();
	});
	socket.on('end', () => {
		hasEnded = true;
	});
	await nextTurn();
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 800);
	expect([received, hasEnded]).toEqual(['', false]);
	await waitForArrivedData();
	expect([received, hasEnded]).toEqual(['x', true]);
});
