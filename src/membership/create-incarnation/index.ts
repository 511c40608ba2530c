/** Incarnations in the order in which they were created. */

import {randomBytes} from 'node:crypto';
import type {Incarnation, WallMs} from '../../identity/ids/index.js';

const timeDigits = 15;
const randomByteCount = 4;

/**
 * Creates an incarnation that compares as a string after every earlier one of the same instance:
 * after `above`, which peers still remember, even when the wall clock was set back.
 */
export function createIncarnation(now: WallMs, above?: Incarnation): Incarnation {
	const floor = above === undefined ? 0 : Number(above.slice(0, timeDigits)) + 1;
	const time = Math.max(Math.floor(now), Number.isFinite(floor) ? floor : 0);
	return `${String(time).padStart(timeDigits, '0')}-${randomBytes(randomByteCount).toString('hex')}` as Incarnation;
}
