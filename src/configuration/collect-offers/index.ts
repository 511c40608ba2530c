/** Asks several sources for their heads at once. */

import type {Clock} from '../../clock/clock/index.js';
import type {Offer, Source} from '../offer/index.js';

/**
 * Collects what `sources` offer within `waitMs`, the highest revision first. Sources that fail or
 * are late are left out, and when all have answered there is nothing to wait for.
 */
export async function collectOffers(sources: readonly Source[], clock: Clock, waitMs: number): Promise<Offer[]> {
	const offers: Offer[] = [];
	const controller = new AbortController();
	const answers = sources.map(async source => {
		try {
			const head = await source.readHead();
			if (head !== undefined) {
				offers.push({head, source});
			}
		} catch {
			// A source that is down offers nothing.
		}
	});
	await Promise.race([Promise.all(answers), clock.sleep(waitMs, controller.signal)]);
	controller.abort();
	return offers.toSorted((a, b) => b.head.revision - a.head.revision);
}
