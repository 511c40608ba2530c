import {test} from 'node:test';
import {expect} from 'earl';
import {createRoute} from '../../fixtures/create-routing-configuration/index.js';
import {noStatements} from '../../statements/target-statements/index.js';
import type {ResponseHead, CallerSink} from '../call-types/index.js';
import {ResponseRelay} from './index.js';

const head: ResponseHead = {
	status: 200, headers: [], isNotRun: false, isGenuine: true, isOtherTarget: false, statements: noStatements, weightsVersion: undefined, isUnframed: false,
};

/** Records what the caller receives. */
function createRecorder(): {sink: CallerSink; log: string[]} {
	const log: string[] = [];
	const sink: CallerSink = {
		begin(status) {
			log.push(String(status));
		},
		write(chunk) {
			log.push(chunk.toString());
			return true;
		},
		end() {
			log.push('end');
		},
		destroy() {
			log.push('destroy');
		},
		onDrain() {
			// Never called, since `write` returns true.
		},
	};
	return {sink, log};
}

test('guards against the head of one response with the body of another for a retried idempotent call', () => {
	const {sink, log} = createRecorder();
	const relay = new ResponseRelay(sink, createRoute('r'), undefined);
	const interrupted = relay.open({...head, status: 201}, false);
	relay.addChunk(interrupted, Buffer.from('half'));
	expect([interrupted.isReady, log]).toEqual([false, []]);
	const whole = relay.open(head, false);
	relay.addChunk(whole, Buffer.from('whole'));
	expect(whole.isReady).toEqual(false);
	whole.end();
	expect(whole.isReady).toEqual(true);
	relay.pass(whole);
	relay.end();
	expect(log).toEqual(['200', 'whole', 'end']);
});

test('continues a resumable stream after the last complete event without a second head', () => {
	const {sink, log} = createRecorder();
	const relay = new ResponseRelay(sink, createRoute('r', {kind: 'streaming', isResumable: true}), undefined);
	const first = relay.open(head, false);
	relay.addChunk(first, Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
	relay.pass(first);
	expect(relay.readLastEventId()).toEqual('1');
	const second = relay.open(head, false);
	relay.addChunk(second, Buffer.from('id: 2\ndata: b\n\n'));
	expect([relay.isLatest(first), relay.isLatest(second), second.hasContent]).toEqual([true, false, true]);
	relay.pass(second);
	expect([relay.isLatest(first), relay.isLatest(second), second.hasContent]).toEqual([false, true, false]);
	second.end();
	relay.end();
	expect(log).toEqual(['200', 'id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n', 'end']);
});

test('guards against a final chunk on a response that ends with its connection before it is complete', () => {
	const {sink, log} = createRecorder();
	const relay = new ResponseRelay(sink, createRoute('r', {kind: 'streaming'}), undefined);
	const answer = relay.open({...head, isUnframed: true}, false);
	relay.addChunk(answer, Buffer.from('data: a\n\ndata'));
	relay.pass(answer);
	answer.end();
	expect(answer.isWhole).toEqual(false);
	relay.destroy();
	expect(log).toEqual(['200', 'data: a\n\ndata', 'destroy']);
});
