/** Options and helpers that several commands share. */

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

/** Output format. */
export const outputOption = option({
	type: oneOf(['table', 'json']), long: 'output', short: 'o', defaultValue: () => 'table', description: 'table or json',
});

/** Runs `operation` with an object API client, which is closed afterwards. */
export async function runWithObjectApi(origin: string, operation: (api: ObjectApi) => Promise<void>): Promise<void> {
	if (!/^https?:\/\/[^/]+$/u.test(origin)) {
		throw new CliError('invalid', `--api: "${origin}" must be http://host:port without a path`);
	}

	const api = new HttpObjectApi({origin});
	try {
		await operation(api);
	} finally {
		await api.close();
	}
}

/** Prints `value` as JSON, or the text that `formatValue` returns. */
export function printOutput(output: string, value: unknown, formatValue: () => string): void {
	process.stdout.write(output === 'json' ? formatJson(value) : formatValue());
}

/** Returns the collection for the name of a kind (singular) or of a collection (plural); case is ignored. */
export function parseCollection(text: string): string {
	const lowerCaseName = text.toLowerCase();
	const match = (Object.entries(collectionByKind) as Array<[ResourceKind, string]>)
		.find(([kind, collection]) => lowerCaseName === collection || lowerCaseName === kind.toLowerCase());
	if (match === undefined) {
		throw new CliError('invalid', `"${text}" is not one of ${Object.values(collectionByKind).join(', ')}`);
	}

	return match[1];
}
