/**
 * Withdrawals take effect even while the whole is refused: taking a right away cannot clash with
 * anything, and a mistake in another resource must not keep a leaked key working.
 */

import {collectionByKind} from '../../resources/schemas/index.js';
import type {StoredObject} from '../../store/object-api/index.js';
import type {ConfigurationData, ResolvedKey} from '../configuration/index.js';

/** Returns `accepted` with every key marked withdrawn whose object is withdrawn, deleted or has another secret. */
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
