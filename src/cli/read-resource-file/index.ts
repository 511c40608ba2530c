/** Reads resources from files of JSON with comments. */

import {readFile} from 'node:fs/promises';
import {
	parse, printParseErrorCode, type ParseError,
} from 'jsonc-parser';
import {parseSettings} from '../../daemon/settings/index.js';
import type {ResourceVersion} from '../../identity/ids/index.js';
import {parseResource} from '../../resources/parse-resource/index.js';
import type {Resource} from '../../resources/schemas/index.js';
import {CliError} from '../cli-error/index.js';

/** A resource from a file. `expected` is the version that the file was read at, if the file states one. */
export type ResourceEntry = {readonly resource: Resource; readonly expected?: ResourceVersion; readonly location: string};

type FileEntry = {readonly metadata?: {readonly resourceVersion?: ResourceVersion}; readonly value?: unknown};

/** Reads a file with one resource, a list of resources, or the output of `get --output json`. */
export async function readResourceFile(file: string): Promise<ResourceEntry[]> {
	return parseResourceFile(await readFile(file, 'utf8'), file);
}

/** Reads several files; entries keep the order of the files. */
export async function readResourceFiles(files: readonly string[]): Promise<ResourceEntry[]> {
	const entries = await Promise.all(files.map(async file => readResourceFile(file)));
	return entries.flat();
}

/** Parses the text of a resource file; throws `CliError` with file, position and reason. */
export function parseResourceFile(text: string, file: string): ResourceEntry[] {
	const root = parseJson(text, file);
	const items = (Array.isArray(root) ? root : [root]) as unknown[];
	return items.map((item, index) => {
		const location = Array.isArray(root) ? `${file}: item ${index + 1}` : file;
		const {metadata, value} = (item ?? {}) as FileEntry;
		try {
			return {resource: parseResource(metadata === undefined ? item : value), expected: metadata?.resourceVersion, location};
		} catch (error) {
			throw new CliError('invalid', `${location}: ${(error as Error).message}`);
		}
	});
}

/** Validates a settings file. Returns false when the file contains resources instead. */
export function checkSettingsText(text: string, file: string): boolean {
	const root = parseJson(text, file) as {listen?: unknown} | null;
	if (root === null || typeof root !== 'object' || !Object.hasOwn(root, 'listen')) {
		return false;
	}

	parseSettings(text, file);
	return true;
}

function parseJson(text: string, file: string): unknown {
	const errors: ParseError[] = [];
	const root = parse(text, errors, {allowTrailingComma: true}) as unknown;
	const [first] = errors;
	if (first !== undefined) {
		throw new CliError('invalid', `${file}:${text.slice(0, first.offset).split('\n').length}: ${printParseErrorCode(first.error)}`);
	}

	return root;
}
