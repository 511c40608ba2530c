import {createServer} from 'node:http';
import {test} from 'node:test';
import {expect} from 'earl';
import {sendRawRequest} from '../../fixtures/send-raw-request/index.js';
import {listenLocally} from '../../http/listen-locally/index.js';
import {CollectingSink} from './index.js';

/** Sends a request of HTTP/1.0 to a server that answers with `write`. */
async function answerWith(write: (sink: CollectingSink) => void) {
	const server = createServer((_message, response) => {
		write(new CollectingSink(response));
	});
	const address = await listenLocally(server);
	try {
		return await sendRawRequest(address, 'GET / HTTP/1.0\r\n\r\n');
	} finally {
		server.closeAllConnections();
		server.close();
	}
}

test('guards against an answer whose end only the connection shows', async () => {
	const {head, body, isComplete} = await answerWith(sink => {
		sink.begin(200, ['x-own', 'a']);
		sink.write(Buffer.from('one '));
		sink.write(Buffer.from('two'));
		sink.end();
	});
	expect([head.includes('content-length: 7'), head.includes('x-own: a'), body, isComplete]).toEqual([true, true, 'one two', true]);
});

test('guards against a second length, and against collecting an answer that has one', async () => {
	const {head, body, isComplete} = await answerWith(sink => {
		sink.begin(200, ['Content-Length', '3']);
		sink.write(Buffer.from('one'));
		sink.end();
	});
	expect([head.match(/content-length/giu)?.length, body, isComplete]).toEqual([1, 'one', true]);
});

test('guards against a collected answer that takes all memory: it is broken off', async () => {
	const {head, isComplete} = await answerWith(sink => {
		sink.begin(200, []);
		for (let megabyte = 0; megabyte < 5; megabyte += 1) {
			sink.write(Buffer.alloc(1024 * 1024));
		}
	});
	expect([head, isComplete]).toEqual(['', false]);
});
