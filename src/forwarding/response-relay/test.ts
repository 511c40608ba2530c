import {test} from 'node:test';
import {expect} from 'earl';
import {createRoute} from '../../fixtures/create-routing-configuration/index.js';
import type {AnswerHead, CallerSink} from '../call-types/index.js';
import {ResponseRelay} from './index.js';

const head: AnswerHead = {
	status: 200, headers: [], isNotRun: false, isGenuine: true, isOtherTarget: false, weightsVersion: undefined, isUnframed: false,
};

/** A caller that keeps a record of what it gets. */
function createRecorder(): {sink: CallerSink; log: string[]} {
	const log: string[] = [];
	const sink: CallerSink = {
		begin(status, _headers, isUnframed) {
			log.push(isUnframed ? `${status} unframed` : String(status));
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
			// The caller reads at once.
		},
	};
	return {sink, log};
}

test('guards against a head from one target and a body from another for idempotent calls', () => {
	const {sink, log} = createRecorder();
	const relay = new ResponseRelay(sink, createRoute('r'), undefined);
	relay.begin(head);
	relay.addChunk(head, Buffer.from('half'));
	relay.discardIncomplete();
	expect(log).toEqual([]);
	relay.begin(head);
	relay.addChunk(head, Buffer.from('whole'));
	relay.end(head);
	expect(log).toEqual(['200', 'whole', 'end']);
});

test('continues a resumable stream after the last whole event, under the first head', () => {
	const {sink, log} = createRecorder();
	const relay = new ResponseRelay(sink, createRoute('r', {kind: 'streaming', isResumable: true}), undefined);
	relay.begin(head);
	relay.addChunk(head, Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
	relay.discardIncomplete();
	expect(relay.readLastEventId()).toEqual('1');
	relay.begin(head);
	relay.addChunk(head, Buffer.from('id: 2\ndata: b\n\n'));
	relay.end(head);
	expect(log).toEqual(['200', 'id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n', 'end']);
});

test('guards against an end marker on an answer whose end proves nothing', () => {
	const {sink, log} = createRecorder();
	const relay = new ResponseRelay(sink, createRoute('r', {kind: 'nonIdempotent'}), undefined);
	relay.begin({...head, isUnframed: true});
	expect(log).toEqual(['200 unframed']);
});
