/** Random pauses, so that instances which learn of something at the same time don't act on it at once. */

import type {RandomSource} from '../random-source/index.js';

const randomSteps = 1000;

/** Bounds of a pause, in milliseconds. */
export type DelayBounds = {readonly shortest: number; readonly longest: number};

/** Draws a pause from `shortest` to less than `longest`, in milliseconds. */
export function drawDelay(random: RandomSource, {shortest, longest}: DelayBounds): number {
	return shortest + ((longest - shortest) * random.pickIndex(randomSteps) / randomSteps);
}
