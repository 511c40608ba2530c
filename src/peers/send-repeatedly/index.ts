/** Sends a message several times, because some datagrams are lost. */

import type {Clock} from '../../clock/clock/index.js';

/** Calls `send` at once, and again after each of the pauses (in milliseconds) until `isSettled`. */
export async function sendRepeatedly(send: () => void, pausesMs: readonly number[], clock: Clock, isSettled = () => false): Promise<void> {
	send();
	for (const pauseMs of pausesMs) {
		await clock.sleep(pauseMs);
		if (isSettled()) {
			return;
		}

		send();
	}
}
