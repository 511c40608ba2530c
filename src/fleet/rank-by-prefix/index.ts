/** Rendezvous hashing of prompt prefixes over targets. */

import {pickByHash, rankByHash} from '../../random/rank-by-hash/index.js';
import type {FleetTarget} from '../fleet-target/index.js';

/** Orders `targets` by their hash weight for `prefix`, the heaviest first. Every instance gets the same order. */
export function rankByPrefix(prefix: string, targets: readonly FleetTarget[]): FleetTarget[] {
	return rankByHash(prefix, targets, target => target.description.id);
}

/** Picks the first `count` targets of that order. */
export function pickByPrefix(prefix: string, targets: readonly FleetTarget[], count: number): FleetTarget[] {
	return pickByHash(prefix, targets, count, target => target.idHash);
}
