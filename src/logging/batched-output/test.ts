import {test} from 'node:test';
import {expect} from 'earl';
import {BatchedOutput, maximumWaiting} from './index.js';

/** An output with its writes and the actions that it has scheduled. */
function createOutput() {
	const written: string[] = [];
	const writes: Array<(error: NodeJS.ErrnoException | null) => void> = [];
	const actions: Array<() => void> = [];
	const output = new BatchedOutput({
		write(text, done) {
			written.push(text);
			writes.push(done);
		},
		schedule(action) {
			actions.push(action);
		},
	});
	return {
		output, written,
		runNext() {
			actions.shift()?.();
		},
		finishWrite(code?: string) {
			writes.shift()!(code === undefined ? null : Object.assign(new Error(code), {code}));
		},
	};
}

test('writes the lines of a moment at once, and those that come meanwhile afterwards', () => {
	const {output, written, runNext, finishWrite} = createOutput();
	output.write('a\n');
	output.write('b\n');
	runNext();
	output.write('c\n');
	runNext();
	expect(written).toEqual(['a\nb\n']);
	finishWrite();
	runNext();
	expect(written).toEqual(['a\nb\n', 'c\n']);
});

test('guards against a slow reader that blocks the process or fills its memory', () => {
	const {output, written, runNext, finishWrite} = createOutput();
	const line = `${'x'.repeat(999)}\n`;
	output.write('first\n');
	runNext();
	for (let index = 0; index < (2 * maximumWaiting / line.length); index += 1) {
		output.write(line);
	}

	expect(written.length).toEqual(1);
	finishWrite();
	runNext();
	expect(written[1]!.length < maximumWaiting + 200).toEqual(true);
	expect(written[1]!.endsWith('event="log lines left out" count=1000 reason="the reader is too slow"\n')).toEqual(true);
});

test('guards against lines that are lost when the descriptor takes nothing for a moment', () => {
	const {output, written, runNext, finishWrite} = createOutput();
	output.write('a\n');
	runNext();
	output.write('b\n');
	finishWrite('EAGAIN');
	runNext();
	expect(written).toEqual(['a\n', 'a\nb\n']);
	expect(output.takeRest()).toEqual('');
});
