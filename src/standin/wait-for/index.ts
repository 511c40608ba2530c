/** Waits for something that another task does, for tests on a busy machine. */

import {setTimeout as delay} from 'node:timers/promises';

const pollMs = 10;
const defaultLimitMs = 5000;

/** Resolves when `isReached` or after `limitMs`; the test then checks the outcome itself. */
export async function waitFor(isReached: () => boolean, limitMs = defaultLimitMs): Promise<void> {
	const end = Date.now() + limitMs;
	while (!isReached() && Date.now() < end) {
		await delay(pollMs);
	}
}
