/** Messages with which instances fetch newer copies of the collections from each other. */

import type {InstanceId} from '../../identity/ids/index.js';
import type {CollectionUpdate} from '../../store/collection-mirror/index.js';
import type {ConfirmedVersion} from '../../store/revision-timeline/index.js';

/** JSON-RPC method that returns the collections that are newer than the caller's copies. */
export const readFeedsMethod = 'feeds.read';

/**
 * `known`: version of each collection that the requesting instance has; `waitMs`: maximum time to wait for newer ones;
 * `acceptsReferral`: whether large updates may be left out for now. Instances of earlier releases don't send it.
 */
export type FeedsRequest = {readonly known: Readonly<Record<string, string>>; readonly waitMs: number; readonly acceptsReferral?: boolean};

/**
 * `isInterrupted`: whether the object API is currently interrupted for the responding instance. `contactAgeMs`: time since
 * that instance last had contact with the object API, directly or through a peer. `confirmed`: versions that the object API
 * is known to have had. `mustConfirm`: whether the receiver is to ask again at once, which shows that a large answer has
 * arrived. `referral`: instances that have newer copies which the responding instance does not send now, because it sends as
 * many large answers as it may; it may be empty. Instances of earlier releases send none of the optional fields.
 */
export type FeedsResponse = {
	readonly updates: readonly CollectionUpdate[];
	readonly isInterrupted: boolean;
	readonly contactAgeMs?: number;
	readonly confirmed?: readonly ConfirmedVersion[];
	readonly mustConfirm?: boolean;
	readonly referral?: readonly InstanceId[];
};
