/** `laburnumturn get`: shows resources. */

import {
	command, optional, positional, string,
} from 'cmd-ts';
import type {StoredObject} from '../../store/object-api/index.js';
import {runCommand} from '../cli-error/index.js';
import {
	apiOption, outputOption, parseCollection, printOutput, runWithObjectApi,
} from '../cli-options/index.js';
import {formatTable} from '../format-table/index.js';

/** Formats an object in the form that `apply` accepts, with the version that it was read at. */
export function formatEntry(object: StoredObject): unknown {
	return {metadata: {name: object.name, resourceVersion: object.resourceVersion}, value: object.value};
}

/** Formats objects as a table, with all fields in one column. */
export function formatObjects(objects: readonly StoredObject[]): string {
	const rows = objects.map(object => [object.name, object.resourceVersion, formatFields(object.value)]);
	return formatTable(['NAME', 'VERSION', 'FIELDS'], rows);
}

function formatFields(value: unknown): string {
	const hiddenFields = new Set(['kind', 'fleet', 'name']);
	const fields = Object.entries((value ?? {}) as Record<string, unknown>).filter(([name]) => !hiddenFields.has(name));
	return fields.map(([name, field]) => `${name}=${typeof field === 'string' ? field : JSON.stringify(field)}`).join(' ');
}

/** Command `get`. */
export const getCommand = command({
	name: 'get',
	description: 'show the resources of a kind, or one of them',
	args: {
		api: apiOption,
		output: outputOption,
		kind: positional({type: string, displayName: 'kind'}),
		name: positional({type: optional(string), displayName: 'name', description: 'fleet.name, or kind.name for a name policy'}),
	},
	handler: async ({api: origin, output, kind, name}) => runCommand(async () => {
		const collection = parseCollection(kind);
		await runWithObjectApi(origin, async api => {
			if (name !== undefined) {
				const object = await api.get(collection, name);
				printOutput(output, formatEntry(object), () => formatObjects([object]));
				return;
			}

			const {items} = await api.list(collection);
			printOutput(output, items.map(item => formatEntry(item)), () => formatObjects(items));
		});
	}),
});
