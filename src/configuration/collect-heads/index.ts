/** Asks several sources for their heads in parallel. */

import type {Clock} from '../../clock/clock/index.js';
import type {OfferedHead, ConfigurationSource} from '../configuration-source/index.js';

/**
 * Collects the heads that `sources` return within `waitMs`, sorted by descending revision. Sources that
 * fail or exceed the wait are skipped. Returns early once all sources have answered or failed.
 */
export async function collectHeads(sources: readonly ConfigurationSource[], clock: Clock, waitMs: number): Promise<OfferedHead[]> {
	const offeredHeads: OfferedHead[] = [];
	const controller = new AbortController();
	const answers = sources.map(async source => {
		try {
			const head = await source.readHead();
			if (head !== undefined) {
				offeredHeads.push({head, source});
			}
		} catch {
			// A source that fails is skipped.
		}
	});
	await Promise.race([Promise.all(answers), clock.sleep(waitMs, controller.signal)]);
	controller.abort();
	return offeredHeads.toSorted((a, b) => b.head.revision - a.head.revision);
}
