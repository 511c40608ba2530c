import {describe, test} from 'node:test';
import {readFile} from 'node:fs/promises';
import {fileURLToPath} from 'node:url';
import {expect} from 'earl';
import {Configuration} from '../../configuration/configuration/index.js';
import {resolveResources} from '../../configuration/resolve-resources/index.js';
import type {FleetId, Revision} from '../../identity/ids/index.js';
import {formatProblem} from '../../names/resource-problem/index.js';
import {formatObjectName, type Resource} from '../../resources/schemas/index.js';
import {readResourceFiles} from '../read-resource-file/index.js';
import {checkFiles} from './index.js';

function locateExample(name: string): string {
	return fileURLToPath(new URL(`../../../examples/${name}`, import.meta.url));
}

/** Returns the resources that the store contains after the files are applied in order. */
async function readExamples(...names: readonly string[]): Promise<Resource[]> {
	const entries = await readResourceFiles(names.map(name => locateExample(name)));
	const stored = new Map(entries.map(({resource}) => [`${resource.kind}/${formatObjectName(resource)}`, resource]));
	return [...stored.values()];
}

const fleetFiles = ['almaty/resources.jsonc', 'ceara/resources.jsonc'] as const;

describe('examples of two fleets', () => {
	test('guards against examples that `check` refuses', async () => {
		for (const fleet of ['almaty', 'ceara']) {
			const result = await checkFiles([locateExample(`${fleet}/settings.jsonc`), locateExample(`${fleet}/resources.jsonc`)]);
			expect(result.settings).toEqual(1);
		}

		const both = await checkFiles([...fleetFiles, 'merge/1-separate.jsonc'].map(name => locateExample(name)));
		expect(both).toEqual({settings: 0, resources: 62});
	});

	test('guards against name collisions that are accepted without a policy', async () => {
		const {problems} = resolveResources(await readExamples(...fleetFiles));
		expect(new Set(problems.map(problem => problem.code))).toEqual(new Set(['nameCollision']));
		expect(problems.some(problem => formatProblem(problem).startsWith('organisations/ceara.travel: name: Organisation "travel" is used by'))).toEqual(true);
	});

	test('guards against names that stop resolving when the identities of two fleets are merged', async () => {
		const separate = resolveResources(await readExamples(...fleetFiles, 'merge/1-separate.jsonc'));
		const merged = resolveResources(await readExamples(...fleetFiles, 'merge/1-separate.jsonc', 'merge/2-merged.jsonc'));
		expect([separate.problems, merged.problems]).toEqual([[], []]);
		const separateConfiguration = new Configuration(1 as Revision, separate.data);
		const mergedConfiguration = new Configuration(2 as Revision, merged.data);
		const findModelId = (configuration: Configuration, fleet: string) => configuration.findModel('assistant', fleet as FleetId)?.id as unknown;
		expect([findModelId(separateConfiguration, 'almaty'), findModelId(separateConfiguration, 'ceara')]).toEqual(['almaty/assistant', 'ceara/assistant']);
		expect([findModelId(mergedConfiguration, 'almaty'), findModelId(mergedConfiguration, 'ceara')]).toEqual(['assistant', 'assistant']);
		const travel = merged.data.organisations.find(organisation => String(organisation.id) === 'travel');
		expect([travel?.tokensPerSecond, travel?.fleets?.map(String)]).toEqual([80_000, ['almaty', 'ceara']]);
		expect(merged.data.organisations.length).toEqual(9);
		expect(mergedConfiguration.listEngines('assistant' as never).length).toEqual(14);
		expect(mergedConfiguration.listServiceTargets('orders').length).toEqual(4);
	});

	test('guards against an error that names neither file nor field', async () => {
		const text = await readFile(locateExample('almaty/settings.jsonc'), 'utf8');
		expect(text.includes('//')).toEqual(true);
		const error = await checkFiles([locateExample('almaty/resources.jsonc'), locateExample('almaty/resources.jsonc')]).catch((error_: unknown) => error_);
		expect((error as Error).message).toMatchRegex(/resources\.jsonc: item 1: almaty\.studio is stated twice/u);
	});
});
