/** Polls for a condition that concurrent work fulfils, so that tests do not depend on the speed of the machine. */

import {setTimeout as delay} from 'node:timers/promises';

const pollIntervalMs = 10;
const defaultTimeoutMs = 5000;

/** Resolves once `isFulfilled` returns true, or after `timeoutMs`; the test then has to check the outcome. */
export async function waitFor(isFulfilled: () => boolean, timeoutMs = defaultTimeoutMs): Promise<void> {
	const deadline = Date.now() + timeoutMs;
	while (!isFulfilled() && Date.now() < deadline) {
		await delay(pollIntervalMs);
	}
}
