import {test} from 'node:test';
import {expect} from 'earl';
import {BatchedOutput, maximumBufferedCharacters} from './index.js';

/** Creates an output whose writes and scheduled actions the test controls. */
function createOutput() {
	const written: string[] = [];
	const pendingWrites: Array<(error: NodeJS.ErrnoException | null) => void> = [];
	const scheduledActions: Array<() => void> = [];
	const output = new BatchedOutput({
		write(text, done) {
			written.push(text);
			pendingWrites.push(done);
		},
		schedule(action) {
			scheduledActions.push(action);
		},
	});
	return {
		output, written,
		runNextAction() {
			scheduledActions.shift()?.();
		},
		finishWrite(code?: string) {
			pendingWrites.shift()!(code === undefined ? null : Object.assign(new Error(code), {code}));
		},
	};
}

test('writes buffered lines in one batch, and lines that arrive during the write in the next one', () => {
	const {output, written, runNextAction, finishWrite} = createOutput();
	output.write('a\n');
	output.write('b\n');
	runNextAction();
	output.write('c\n');
	runNextAction();
	expect(written).toEqual(['a\nb\n']);
	finishWrite();
	runNextAction();
	expect(written).toEqual(['a\nb\n', 'c\n']);
});

test('guards against a slow reader that blocks the process or lets the buffer grow without limit', () => {
	const {output, written, runNextAction, finishWrite} = createOutput();
	const line = `${'x'.repeat(999)}\n`;
	output.write('first\n');
	runNextAction();
	for (let index = 0; index < (2 * maximumBufferedCharacters / line.length); index += 1) {
		output.write(line);
	}

	expect(written.length).toEqual(1);
	finishWrite();
	runNextAction();
	expect(written[1]!.length < maximumBufferedCharacters + 200).toEqual(true);
	expect(written[1]!.endsWith('event="log lines left out" count=1000 reason="the reader is too slow"\n')).toEqual(true);
});

test('guards against lines that are lost when the file descriptor is not writable for a moment', () => {
	const {output, written, runNextAction, finishWrite} = createOutput();
	output.write('a\n');
	runNextAction();
	output.write('b\n');
	finishWrite('EAGAIN');
	runNextAction();
	expect(written).toEqual(['a\n', 'a\nb\n']);
	expect(output.drainBuffer()).toEqual('');
});
