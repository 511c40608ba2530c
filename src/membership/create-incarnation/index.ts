/** Creation of incarnations, which identify the starts of an instance and sort by creation time. */

import {randomBytes} from 'node:crypto';
import type {Incarnation, WallMs} from '../../identity/ids/index.js';

const timeDigits = 15;
const randomByteCount = 4;

/**
 * Creates an incarnation that sorts, as a string, after every earlier one of the same instance. With `previous`,
 * the incarnation that peers still remember, this holds even if the wall clock was set back.
 */
export function createIncarnation(now: WallMs, previous?: Incarnation): Incarnation {
	const minimumTimeMs = previous === undefined ? 0 : Number(previous.slice(0, timeDigits)) + 1;
	const timeMs = Math.max(Math.floor(now), Number.isFinite(minimumTimeMs) ? minimumTimeMs : 0);
	return `${String(timeMs).padStart(timeDigits, '0')}-${randomBytes(randomByteCount).toString('hex')}` as Incarnation;
}
