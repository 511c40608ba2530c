/** Waits for a daemon that has just been started. */

import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import VError from 'verror';

/** The daemon to wait for. */
export type ServingProbe = {
	/** `host:port` of its caller listener. */
	readonly address: string;
	readonly secret: string;
	readonly timeoutMs: number;
};

const pollIntervalMs = 100;
/** Length of the answer in an error message. */
const maximumAnswerLength = 200;

/** Resolves once the daemon serves a completion. Rejects with its last answer if it does not within `timeoutMs`. */
export async function waitUntilServing({address, secret, timeoutMs}: ServingProbe): Promise<void> {
	const signal = AbortSignal.timeout(timeoutMs);
	let lastAnswer = 'none';
	while (!signal.aborted) {
		try {
			const response = await request(`http://${address}/v1/completions`, {
				method: 'POST', headers: {authorization: `Bearer ${secret}`}, signal,
				body: JSON.stringify({model: 'assistant', prompt: 'ready?', max_tokens: 1}),
			});
			const text = await response.body.text();
			if (response.statusCode === 200) {
				return;
			}

			lastAnswer = `status ${response.statusCode}: ${text.slice(0, maximumAnswerLength)}`;
		} catch (error) {
			lastAnswer = signal.aborted ? lastAnswer : (error as Error).message;
		}

		await delay(pollIntervalMs);
	}

	throw new VError('the daemon at %s did not serve within %d ms; last answer: %s', address, timeoutMs, lastAnswer);
}
