/** Chooses whose body is refused when the memory for bodies is used up. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {BodyHolding} from '../body-holding/index.js';

/** Rate that is added to that of each body, in bytes per millisecond, so that bodies that stand still differ by what they hold. */
const baseRate = 16;
/** Silence that counts as much as a rate of half the bytes, in milliseconds. The average rate falls only slowly after a burst. */
const silenceUnitMs = 100;

/**
 * Chooses the body with the most memory in relation to the rate at which it arrives: the one that its caller would take longest
 * to send again. The longer a body has been silent, the more it counts. Bodies that hold no more than `exemptBytes` are spared. Undefined if there is no other.
 */
export function chooseBodyToRefuse(bodies: Iterable<BodyHolding>, exemptBytes: number, now: MonotonicMs): BodyHolding | undefined {
	let chosenBody: BodyHolding | undefined;
	let highestScore = 0;
	for (const body of bodies) {
		const resendMs = body.heldBytes / (body.readRate(now) + baseRate);
		const score = resendMs * (1 + (body.readSilenceMs(now) / silenceUnitMs));
		if (body.heldBytes > exemptBytes && score > highestScore) {
			chosenBody = body;
			highestScore = score;
		}
	}

	return chosenBody;
}
