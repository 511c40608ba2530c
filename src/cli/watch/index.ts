/** `laburnumturn watch`: prints changes of a collection until interrupted. */

import {command, positional, string} from 'cmd-ts';
import type {ResourceVersion} from '../../identity/ids/index.js';
import {statusCollection} from '../../configuration/resource-status/index.js';
import {ObjectApiError, type ObjectApi, type WatchEvent} from '../../store/object-api/index.js';
import {runCommand} from '../cli-error/index.js';
import {
	apiOption, outputOption, parseCollection, runWithObjectApi,
} from '../cli-options/index.js';

const reconnectDelayMs = 500;

type WatchState = {version: ResourceVersion | undefined};

/** Prints changes without end. A broken watch resumes at its last version; an expired one restarts at the current version. */
export async function watchCollection(api: ObjectApi, collection: string, print: (event: WatchEvent) => void): Promise<never> {
	const state: WatchState = {version: undefined};
	for (;;) {
		try {
			await followWatch(api, collection, state, print);
		} catch (error) {
			if (error instanceof ObjectApiError && error.failure === 'expired') {
				state.version = undefined;
			}

			process.stderr.write(`laburnumturn: watch replaced: ${(error as Error).message}\n`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, reconnectDelayMs);
		});
	}
}

async function followWatch(api: ObjectApi, collection: string, state: WatchState, print: (event: WatchEvent) => void): Promise<void> {
	if (state.version === undefined) {
		const {resourceVersion} = await api.list(collection);
		state.version = resourceVersion;
	}

	await api.watch(collection, state.version).observe(event => {
		state.version = event.type === 'bookmark' ? event.resourceVersion : event.object.resourceVersion;
		print(event);
	});
}

/** Command `watch`. */
export const watchCommand = command({
	name: 'watch',
	description: 'print changes of the resources of a kind, or of "statuses", until interrupted',
	args: {api: apiOption, output: outputOption, kind: positional({type: string, displayName: 'kind'})},
	handler: async ({api: origin, output, kind}) => runCommand(async () => {
		const collection = kind === statusCollection ? kind : parseCollection(kind);
		await runWithObjectApi(origin, async api => watchCollection(api, collection, event => {
			if (event.type !== 'bookmark') {
				const {name, resourceVersion, value} = event.object;
				const line = output === 'json' ? JSON.stringify({type: event.type, metadata: {name, resourceVersion}, value}) : `${event.type.padEnd(8)}  ${name}  ${resourceVersion}`;
				process.stdout.write(`${line}\n`);
			}
		}));
	}),
});
