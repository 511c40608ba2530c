/**
 * Selects the instances that pool the unused quota tokens of an organisation in a large fleet.
 *
 * With many instances, the equal share of each is smaller than one long call, and a call that borrows would have
 * to ask most of the fleet. Shares therefore deposit unused tokens at a few pool instances.
 */

import type {InstanceId, OrganisationId} from '../../identity/ids/index.js';
import {rankByHash} from '../../random/rank-by-hash/index.js';

/** Fleet size up to which shares are large enough without pools. */
const maximumInstancesWithoutPools = 12;
/** Pool instances of one organisation. When one is lost, the tokens of the other remain. */
export const poolInstanceCount = 2;

/** Lists the pool instances of an organisation among the live instances; empty in a small fleet. */
export function listPoolInstances(organisation: OrganisationId, liveIds: readonly InstanceId[]): InstanceId[] {
	return liveIds.length <= maximumInstancesWithoutPools ? [] : rankByHash(organisation, liveIds, id => id).slice(0, poolInstanceCount);
}
