/** `laburnumturn check`: checks files without writing anything. */

import {readFile} from 'node:fs/promises';
import {command, restPositionals, string} from 'cmd-ts';
import {resolveResources} from '../../configuration/resolve-resources/index.js';
import {formatProblem} from '../../names/resource-problem/index.js';
import {formatObjectName} from '../../resources/schemas/index.js';
import {CliError, runCommand} from '../cli-error/index.js';
import {checkSettingsText, parseResourceFile, type ResourceEntry} from '../read-resource-file/index.js';

/** Numbers of valid settings files and resources. */
export type CheckResult = {readonly settings: number; readonly resources: number};

/**
 * Checks each settings file, and the resources of all files together. Throws at the first invalid file or
 * duplicate resource; otherwise with all problems of the resources.
 */
export async function checkFiles(files: readonly string[]): Promise<CheckResult> {
	const entries: ResourceEntry[] = [];
	let settingsCount = 0;
	for (const file of files) {
		const text = await readFile(file, 'utf8');
		if (checkSettingsText(text, file)) {
			settingsCount += 1;
		} else {
			entries.push(...parseResourceFile(text, file));
		}
	}

	const lastEntries = new Map(entries.map(entry => [`${entry.resource.kind}/${formatObjectName(entry.resource)}`, entry]));
	const duplicate = entries.find(entry => lastEntries.get(`${entry.resource.kind}/${formatObjectName(entry.resource)}`) !== entry);
	if (duplicate !== undefined) {
		throw new CliError('invalid', `${duplicate.location}: ${formatObjectName(duplicate.resource)} is stated twice`);
	}

	const {problems} = resolveResources(entries.map(entry => entry.resource));
	if (problems.length > 0) {
		throw new CliError('invalid', problems.map(problem => formatProblem(problem)).join('\n'));
	}

	return {settings: settingsCount, resources: entries.length};
}

/** Command `check`. */
export const checkCommand = command({
	name: 'check',
	description: 'check files of settings and resources; the resources of all files count as one whole',
	args: {files: restPositionals({type: string, displayName: 'file'})},
	handler: async ({files}) => runCommand(async () => {
		const {settings, resources} = await checkFiles(files);
		process.stdout.write(`valid: ${settings} settings, ${resources} resources\n`);
	}),
});
