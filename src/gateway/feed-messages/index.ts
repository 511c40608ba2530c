/** Messages with which instances fetch newer copies of the collections from each other. */

import type {CollectionUpdate} from '../../store/collection-mirror/index.js';
import type {ConfirmedVersion} from '../../store/revision-timeline/index.js';

/** JSON-RPC method that returns the collections that are newer than the caller's copies. */
export const readFeedsMethod = 'feeds.read';

/** `known`: version of each collection that the requesting instance has; `waitMs`: maximum time to wait for newer ones. */
export type FeedsRequest = {readonly known: Readonly<Record<string, string>>; readonly waitMs: number};

/**
 * `isInterrupted`: whether the object API is currently interrupted for the responding instance. `contactAgeMs`: time since
 * that instance last had contact with the object API, directly or through a peer. `confirmed`: versions that the object API
 * is known to have had. Instances of earlier releases don't send the last two.
 */
export type FeedsResponse = {
	readonly updates: readonly CollectionUpdate[];
	readonly isInterrupted: boolean;
	readonly contactAgeMs?: number;
	readonly confirmed?: readonly ConfirmedVersion[];
};
