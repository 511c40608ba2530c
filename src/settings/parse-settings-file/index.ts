/** Parses settings files: JSON with comments, checked against a schema. */

import {
	parseTree, findNodeAtLocation, printParseErrorCode, getNodeValue, type Node, type ParseError,
} from 'jsonc-parser';
import type {z} from 'zod';
import {parseAddress} from '../../http/parse-address/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';

/** Parses settings; throws `settingsInvalid` with file, line and reason of each fault. */
export function parseSettingsFile<Schema extends z.ZodType>(text: string, file: string, schema: Schema): z.infer<Schema> {
	const errors: ParseError[] = [];
	const root = parseTree(text, errors, {allowTrailingComma: true});
	const [first] = errors;
	if (first !== undefined || root === undefined) {
		const reason = first === undefined ? 'the file is empty' : printParseErrorCode(first.error);
		throw createRouterError('settingsInvalid', `${file}:${countLine(text, first?.offset ?? 0)}: ${reason}`);
	}

	const result = schema.safeParse(getNodeValue(root));
	if (!result.success) {
		const faults = result.error.issues.map(issue => `${file}:${findLine(text, root, issue)}: ${issue.path.join('.') || '(whole)'}: ${issue.message}`);
		throw createRouterError('settingsInvalid', faults.join('\n'));
	}

	return result.data;
}

/** Whether `text` has the form `host:port`. */
export function isAddress(text: string): boolean {
	try {
		parseAddress(text);
		return true;
	} catch {
		return false;
	}
}

function findLine(text: string, root: Node, issue: z.core.$ZodIssue): number {
	const extra = issue.code === 'unrecognized_keys' ? issue.keys.slice(0, 1) : [];
	const path = [...issue.path, ...extra].map(part => typeof part === 'symbol' ? String(part) : part);
	for (let {length} = path; length > 0; length -= 1) {
		const node = findNodeAtLocation(root, path.slice(0, length));
		if (node !== undefined) {
			return countLine(text, node.parent?.type === 'property' ? node.parent.offset : node.offset);
		}
	}

	return countLine(text, root.offset);
}

function countLine(text: string, offset: number): number {
	return text.slice(0, offset).split('\n').length;
}
