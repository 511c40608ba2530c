/** Creates the resources of two small fleets that share some names. */

import type {Resource} from '../../resources/schemas/index.js';
import {hashKey} from '../../keys/hash-key/index.js';

/** Addresses of the simulated targets, by fleet. */
export type DemoTargets = Readonly<Record<'north' | 'south', {readonly engines: readonly string[]; readonly service: string}>>;

/** Secrets of the API keys of the demo's callers. */
export const demoSecrets = {north: 'demo-secret-north', south: 'demo-secret-south', shared: 'demo-secret-shared'} as const;

/**
 * Creates the demo's resources. Organisation `travel` is one organisation in both fleets; model `assistant`
 * and the targets `worker-0` and `worker-1` are separate in each fleet.
 */
export function createDemoResources(targets: DemoTargets): Resource[] {
	return [
		...createFleetResources('north', targets.north),
		...createFleetResources('south', targets.south),
		createKey('north', 'shared', 'travel', demoSecrets.shared),
		{
			kind: 'NamePolicy', name: 'travel', appliesTo: 'Organisation', mode: 'join',
		},
		{
			kind: 'NamePolicy', name: 'assistant', appliesTo: 'Model', mode: 'keepApart',
		},
		{
			kind: 'NamePolicy', name: 'worker-0', appliesTo: 'Target', mode: 'keepApart',
		},
		{
			kind: 'NamePolicy', name: 'worker-1', appliesTo: 'Target', mode: 'keepApart',
		},
	];
}

function createFleetResources(fleet: 'north' | 'south', targets: DemoTargets['north']): Resource[] {
	const budget = {tokensPerSecond: 200_000, burstTokens: 400_000, weight: 1};
	const engines = targets.engines.map((address, index): Resource => ({
		kind: 'Target', fleet, name: `worker-${index}`, dataCentre: `${fleet}-${index % 3}`, type: 'engine', address,
		models: ['assistant'], checksFencing: index === 0, role: 'mixed', state: 'live',
	}));
	return [
		{
			kind: 'Organisation', fleet, name: 'travel', ...budget,
		},
		{
			kind: 'Organisation', fleet, name: `studio-${fleet}`, ...budget,
		},
		createKey(fleet, `key-${fleet}`, `studio-${fleet}`, demoSecrets[fleet]),
		{
			kind: 'Model', fleet, name: 'assistant', base: 'base', weightsVersion: fleet === 'north' ? 'v1' : 'v2', deterministic: false,
		},
		...engines,
		{
			kind: 'Target', fleet, name: `orders-${fleet}`, dataCentre: `${fleet}-0`, type: 'service', address: targets.service,
			service: `orders-${fleet}`, models: [], checksFencing: false, role: 'mixed', state: 'live',
		},
		{
			kind: 'Route', fleet, name: `orders-${fleet}`, access: 'keyed', pathPrefix: `/orders-${fleet}`,
			service: `orders-${fleet}`, repeatable: 'byMethod', timeoutMs: 5000,
		},
	];
}

function createKey(fleet: string, name: string, organisation: string, secret: string): Resource {
	return {
		kind: 'Key', fleet, name, organisation, sha256: hashKey(secret), state: 'active',
	};
}
