/** The output of the stand-in engine, which is a function of the prompt so that callers can check it. */

import {createHash} from 'node:crypto';

const digestHexLength = 12;

/** Generates the first `count` output tokens for `prompt`. */
export function generateTokens(prompt: string, count: number): string[] {
	const digest = createHash('sha256').update(prompt).digest('hex').slice(0, digestHexLength);
	return Array.from({length: count}, (_, index) => `${digest}-${index} `);
}
