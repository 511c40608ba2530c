/**
 * Applies key withdrawals while the configuration is refused because of other problems. A withdrawal
 * cannot conflict with other resources, and a mistake elsewhere must not keep a leaked key valid.
 */

import {collectionByKind} from '../../resources/schemas/index.js';
import type {StoredObject} from '../../store/object-api/index.js';
import type {ConfigurationData, ResolvedKey} from '../configuration/index.js';

/** Returns `accepted` with those keys marked as withdrawn whose object is withdrawn, was deleted or has another secret. */
export function withdrawKeys(accepted: ConfigurationData, objects: readonly StoredObject[]): ConfigurationData {
	const keyObjects = new Map(objects.filter(object => object.collection === collectionByKind.Key).map(object => [object.name, object.value]));
	const keys = accepted.keys.map((key): ResolvedKey => {
		const value = keyObjects.get(`${key.fleet}.${key.name}`);
		return key.state === 'active' && isWithdrawn(key, value) ? {...key, state: 'withdrawn'} : key;
	});
	return {...accepted, keys};
}

function isWithdrawn(key: ResolvedKey, value: unknown): boolean {
	const {state, sha256} = (value ?? {state: 'withdrawn'}) as {state?: unknown; sha256?: unknown};
	return state === 'withdrawn' || (typeof sha256 === 'string' && sha256 !== key.hash);
}
