/** Parses settings files: JSON with comments, validated against a schema. */

import {
	parseTree, findNodeAtLocation, printParseErrorCode, getNodeValue, type Node, type ParseError,
} from 'jsonc-parser';
import type {z} from 'zod';
import {parseAddress} from '../../http/parse-address/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';

/** Parses settings; throws `settingsInvalid` with file, line and reason of each error. */
export function parseSettingsFile<Schema extends z.ZodType>(text: string, file: string, schema: Schema): z.infer<Schema> {
	const errors: ParseError[] = [];
	const root = parseTree(text, errors, {allowTrailingComma: true});
	const [firstError] = errors;
	if (firstError !== undefined || root === undefined) {
		const reason = firstError === undefined ? 'the file is empty' : printParseErrorCode(firstError.error);
		throw createRouterError('settingsInvalid', `${file}:${findLineNumber(text, firstError?.offset ?? 0)}: ${reason}`);
	}

	const result = schema.safeParse(getNodeValue(root));
	if (!result.success) {
		const messages = result.error.issues.map(issue => `${file}:${findIssueLineNumber(text, root, issue)}: ${issue.path.join('.') || '(whole)'}: ${issue.message}`);
		throw createRouterError('settingsInvalid', messages.join('\n'));
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

function findIssueLineNumber(text: string, root: Node, issue: z.core.$ZodIssue): number {
	const unrecognizedKeys = issue.code === 'unrecognized_keys' ? issue.keys.slice(0, 1) : [];
	const path = [...issue.path, ...unrecognizedKeys].map(key => typeof key === 'symbol' ? String(key) : key);
	for (let {length} = path; length > 0; length -= 1) {
		const node = findNodeAtLocation(root, path.slice(0, length));
		if (node !== undefined) {
			return findLineNumber(text, node.parent?.type === 'property' ? node.parent.offset : node.offset);
		}
	}

	return findLineNumber(text, root.offset);
}

function findLineNumber(text: string, offset: number): number {
	return text.slice(0, offset).split('\n').length;
}
