/** Creates keys and withdraws them. */

import {randomBytes} from 'node:crypto';
import {hashKey} from '../../keys/hash-key/index.js';
import {ObjectApiError, type ObjectApi} from '../../store/object-api/index.js';
import {
	collectionByKind, formatObjectName, keySchema, type KeyResource,
} from '../../resources/schemas/index.js';
import {applyResource, readObject, type AppliedResource} from '../apply-resources/index.js';
import {CliError} from '../cli-error/index.js';

const secretBytes = 32;
const maximumWithdrawalAttempts = 10;

/** Fleet and name that identify a key. */
export type KeyName = Pick<KeyResource, 'fleet' | 'name'>;

/** Creates a key and returns its secret; only the hash of the secret is stored. */
export async function createKey(api: ObjectApi, label: KeyName & Pick<KeyResource, 'organisation'>): Promise<{secret: string; applied: AppliedResource}> {
	const secret = `lt_${randomBytes(secretBytes).toString('base64url')}`;
	const result = keySchema.safeParse({kind: 'Key', ...label, sha256: hashKey(secret)});
	if (!result.success) {
		throw new CliError('invalid', result.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join('; '));
	}

	const name = formatObjectName(result.data);
	if (await readObject(api, collectionByKind.Key, name) !== undefined) {
		throw new CliError('conflict', `keys/${name} exists; withdraw or delete it first, or choose another name`);
	}

	return {secret, applied: await applyResource(api, {resource: result.data})};
}

/** Withdraws a key. Unlike other writes, this one is retried after a conflict, since no concurrent change may keep the key valid. */
export async function withdrawKey(api: ObjectApi, {fleet, name}: KeyName): Promise<void> {
	const objectName = `${fleet}.${name}`;
	for (let attempt = 1; ; attempt += 1) {
		const object = await readObject<KeyResource>(api, collectionByKind.Key, objectName);
		if (object === undefined) {
			throw new CliError('notFound', `keys/${objectName} does not exist; a deleted key does not work either`);
		}

		if (object.value.state === 'withdrawn') {
			return;
		}

		try {
			await api.update(collectionByKind.Key, objectName, {...object.value, state: 'withdrawn'}, object.resourceVersion);
			return;
		} catch (error) {
			const canRetry = error instanceof ObjectApiError && ['conflict', 'unknownOutcome'].includes(error.failure);
			if (!canRetry || attempt === maximumWithdrawalAttempts) {
				throw error;
			}
		}
	}
}
