import {setTimeout as delay} from 'node:timers/promises';
import {test} from 'node:test';
import {expect} from 'earl';
import {createTaskStream, type StreamTask} from './index.js';

/** What an observer of a task's stream sees; `leave` ends the observation. */
function observe(task: StreamTask<number>) {
	const seen: unknown[] = [];
	const subscription = createTaskStream(task).subscribe({
		next(value: number) {
			seen.push(value);
		},
		error(error: Error) {
			seen.push(error.message);
		},
		complete() {
			seen.push('complete');
		},
	});
	return {
		seen,
		leave() {
			subscription.unsubscribe();
		},
	};
}

test('passes on the values of the task and its failure', async () => {
	const {seen} = observe(async emit => {
		emit(1);
		emit(2);
		throw new Error('broken');
	});
	await delay(10);
	expect(seen).toEqual([1, 2, 'broken']);
});

test('guards against a task that goes on for an observer who left, and against its error for them', async () => {
	let isAborted = false;
	const {seen, leave} = observe(async (emit, signal) => {
		emit(1);
		await new Promise<void>((_, reject) => {
			signal.addEventListener('abort', () => {
				isAborted = true;
				reject(new Error('aborted'));
			});
		});
	});
	await delay(10);
	leave();
	await delay(10);
	expect(isAborted).toEqual(true);
	expect(seen).toEqual([1]);
});
