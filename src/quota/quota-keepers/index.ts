/**
 * Which instances keep the pooled tokens of an organisation in a large fleet.
 *
 * Load pattern: with many instances the equal share of each is smaller than one long call, and a call
 * that borrows would have to ask most of the fleet. So shares pass what they do not use to a few keepers.
 */

import type {InstanceId, OrganisationId} from '../../identity/ids/index.js';
import {rankByHash} from '../../random/rank-by-hash/index.js';

/** Instances up to which shares are large enough without keepers. */
const smallFleet = 12;
/** Keepers of one organisation; the loss of one leaves the tokens of the other. */
export const keeperCount = 2;

/** Lists the keepers of an organisation among the live instances; none in a small fleet. */
export function listKeepers(organisation: OrganisationId, live: readonly InstanceId[]): InstanceId[] {
	return live.length <= smallFleet ? [] : rankByHash(organisation, live, id => id).slice(0, keeperCount);
}
