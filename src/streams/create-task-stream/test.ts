import {setTimeout as delay} from 'node:timers/promises';
import {test} from 'node:test';
import {expect} from 'earl';
import {createTaskStream, type StreamTask} from './index.js';

/** Subscribes to the stream of a task and collects its events. */
function observe(task: StreamTask<number>) {
	const received: unknown[] = [];
	const subscription = createTaskStream(task).subscribe({
		next(value: number) {
			received.push(value);
		},
		error(error: Error) {
			received.push(error.message);
		},
		complete() {
			received.push('complete');
		},
	});
	return {
		received,
		unsubscribe() {
			subscription.unsubscribe();
		},
	};
}

test('emits the values of the task, then its error', async () => {
	const {received} = observe(async emit => {
		emit(1);
		emit(2);
		throw new Error('broken');
	});
	await delay(10);
	expect(received).toEqual([1, 2, 'broken']);
});

test('guards against a task that keeps running after the observer has unsubscribed, and against its error reaching the observer', async () => {
	let isAborted = false;
	const {received, unsubscribe} = observe(async (emit, signal) => {
		emit(1);
		await new Promise<void>((_, reject) => {
			signal.addEventListener('abort', () => {
				isAborted = true;
				reject(new Error('aborted'));
			});
		});
	});
	await delay(10);
	unsubscribe();
	await delay(10);
	expect(isAborted).toEqual(true);
	expect(received).toEqual([1]);
});
