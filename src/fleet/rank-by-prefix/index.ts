/** Rendezvous hashing of prompt prefixes over targets. */

import {createHash} from 'node:crypto';
import type {FleetTarget} from '../fleet-target/index.js';

const weightBytes = 6;

/** Orders `targets` by their hash weight for `prefix`; all instances arrive at the same order. */
export function rankByPrefix(prefix: string, targets: readonly FleetTarget[]): FleetTarget[] {
	const weighted = targets.map(target => ({target, weight: hashPair(prefix, target.description.id)}));
	return weighted.toSorted((a, b) => b.weight - a.weight).map(({target}) => target);
}

function hashPair(prefix: string, id: string): number {
	return createHash('md5').update(prefix).update('\0').update(id).digest().readUIntBE(0, weightBytes);
}
