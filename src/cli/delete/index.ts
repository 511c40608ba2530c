/** `laburnumturn delete`: deletes a resource. */

import {
	command, option, optional, positional, string,
} from 'cmd-ts';
import type {ResourceVersion} from '../../identity/ids/index.js';
import {ObjectApiError, type ObjectApi} from '../../store/object-api/index.js';
import {readObject} from '../apply-resources/index.js';
import {CliError, runCommand} from '../cli-error/index.js';
import {apiOption, parseCollection, runWithObjectApi} from '../cli-options/index.js';

/** Deletes an object at `expected` or at its current version. After a lost response, reads the object again to see whether it was deleted. */
export async function deleteObject(api: ObjectApi, collection: string, name: string, expected?: ResourceVersion): Promise<void> {
	const stored = await readObject(api, collection, name);
	if (stored === undefined) {
		throw new CliError('notFound', `${collection}/${name} does not exist`);
	}

	try {
		await api.remove(collection, name, expected ?? stored.resourceVersion);
	} catch (error) {
		const failure = error instanceof ObjectApiError ? error.failure : undefined;
		if (failure === 'unknownOutcome' && await readObject(api, collection, name) === undefined) {
			return;
		}

		if (failure === 'conflict') {
			throw new CliError('conflict', `${collection}/${name} was not deleted: another operator changed it; read it again`);
		}

		throw error;
	}
}

/** Command `delete`. */
export const deleteCommand = command({
	name: 'delete',
	description: 'delete a resource at the version that is stored now, or at a given one',
	args: {
		api: apiOption,
		version: option({type: optional(string), long: 'resource-version', description: 'delete only at this version'}),
		kind: positional({type: string, displayName: 'kind'}),
		name: positional({type: string, displayName: 'name'}),
	},
	handler: async ({api: origin, version, kind, name}) => runCommand(async () => {
		const collection = parseCollection(kind);
		await runWithObjectApi(origin, async api => deleteObject(api, collection, name, version as ResourceVersion | undefined));
		process.stdout.write(`${collection}/${name} deleted\n`);
	}),
});
