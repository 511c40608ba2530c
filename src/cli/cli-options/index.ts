/** Options that commands share. */

import {
	oneOf, option, string,
} from 'cmd-ts';
import {HttpObjectApi} from '../../store/http-object-api/index.js';
import type {ObjectApi} from '../../store/object-api/index.js';
import {collectionByKind, type ResourceKind} from '../../resources/schemas/index.js';
import {CliError} from '../cli-error/index.js';
import {formatJson} from '../format-table/index.js';

/** Address of the object API. */
export const apiOption = option({
	type: string, long: 'api', env: 'LABURNUMTURN_API', defaultValue: () => 'http://127.0.0.1:7000', description: 'object API, http://host:port',
});

/** Form of the output. */
export const outputOption = option({
	type: oneOf(['table', 'json']), long: 'output', short: 'o', defaultValue: () => 'table', description: 'table or json',
});

/** Runs `use` with a client of the object API and closes it afterwards. */
export async function useObjectApi(origin: string, use: (api: ObjectApi) => Promise<void>): Promise<void> {
	if (!/^https?:\/\/[^/]+$/u.test(origin)) {
		throw new CliError('invalid', `--api: "${origin}" must be http://host:port without a path`);
	}

	const api = new HttpObjectApi({origin});
	try {
		await use(api);
	} finally {
		await api.close();
	}
}

/** Prints a value as JSON, or as `table`. */
export function printOutput(output: string, value: unknown, table: () => string): void {
	process.stdout.write(output === 'json' ? formatJson(value) : table());
}

/** Returns the collection of a kind or collection name, in any case, singular or plural. */
export function parseCollection(text: string): string {
	const wanted = text.toLowerCase();
	const found = (Object.entries(collectionByKind) as Array<[ResourceKind, string]>)
		.find(([kind, collection]) => wanted === collection || wanted === kind.toLowerCase());
	if (found === undefined) {
		throw new CliError('invalid', `"${text}" is not one of ${Object.values(collectionByKind).join(', ')}`);
	}

	return found[1];
}
