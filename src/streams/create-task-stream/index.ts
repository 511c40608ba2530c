/** Creates streams of the values that an asynchronous task emits. */

import {type Stream} from 'most';
import {createStream} from '../create-stream/index.js';

/** Emits values until `signal` aborts. A rejection becomes the stream's error. */
export type StreamTask<Value> = (emit: (value: Value) => void, signal: AbortSignal) => Promise<void>;

/** Creates a stream that runs `task` once for each observer, and aborts it when the observer unsubscribes. */
export function createTaskStream<Value>(task: StreamTask<Value>): Stream<Value> {
	return createStream(subscriber => {
		const controller = new AbortController();
		const emit = (value: Value) => {
			subscriber.next(value);
		};

		task(emit, controller.signal).catch((error: unknown) => {
			if (!controller.signal.aborted) {
				subscriber.error(error as Error);
			}
		});
		return () => {
			controller.abort();
		};
	});
}
