/** `laburnumturn apply`: writes resources from files. */

import {
	command, number, option, restPositionals, string,
} from 'cmd-ts';
import type {ObjectApi} from '../../store/object-api/index.js';
import {
	formatStatusName, isAccepted, statusCollection, type ResourceStatus,
} from '../../configuration/resource-status/index.js';
import {applyResources, readObject, type AppliedResource} from '../apply-resources/index.js';
import {CliError, runCommand} from '../cli-error/index.js';
import {
	apiOption, outputOption, printOutput, runWithObjectApi,
} from '../cli-options/index.js';
import {formatTable} from '../format-table/index.js';
import {readResourceFiles} from '../read-resource-file/index.js';

const statusPollIntervalMs = 200;
const msPerSecond = 1000;

/** Waits until every write is accepted; throws `refused` with the reasons that are known when the time runs out. */
export async function waitForAcceptance(api: ObjectApi, applied: readonly AppliedResource[], waitMs: number): Promise<void> {
	const deadline = Date.now() + waitMs;
	for (;;) {
		const statuses = await Promise.all(applied.map(async item => readStatus(api, item)));
		const pending = statuses.filter(status => status === undefined || !isAccepted(status));
		if (pending.length === 0) {
			return;
		}

		if (Date.now() > deadline) {
			const reasons = pending.flatMap(status => status?.conditions.filter(condition => !condition.isTrue && condition.type === 'Accepted')
				.map(({reason, field, message}) => `${status.collection}/${status.objectName}: ${field ?? reason}: ${message ?? ''}`) ?? []);
			throw new CliError('refused', [`written, but ${pending.length} resources are not accepted`, ...reasons].join('\n'));
		}

		await new Promise(resolve => {
			setTimeout(resolve, statusPollIntervalMs);
		});
	}
}

async function readStatus(api: ObjectApi, {collection, name, resourceVersion}: AppliedResource): Promise<ResourceStatus | undefined> {
	const object = await readObject<ResourceStatus>(api, statusCollection, formatStatusName(collection, name));
	return object?.value.observedVersion === resourceVersion ? object.value : undefined;
}

/** Command `apply`. */
export const applyCommand = command({
	name: 'apply',
	description: 'write resources by conditional updates; the loser of a race gets a conflict',
	args: {
		api: apiOption,
		output: outputOption,
		wait: option({
			type: number, long: 'wait', defaultValue: () => 0, description: 'seconds to wait until the acceptor has accepted the resources',
		}),
		files: restPositionals({type: string, displayName: 'file'}),
	},
	handler: async ({api: origin, output, wait, files}) => runCommand(async () => {
		const entries = await readResourceFiles(files);
		await runWithObjectApi(origin, async api => {
			const applied: AppliedResource[] = [];
			try {
				await applyResources(api, entries, item => {
					applied.push(item);
				});
			} finally {
				printOutput(output, applied, () => formatTable(['COLLECTION', 'NAME', 'ACTION'], applied.map(item => [item.collection, item.name, item.action])));
			}

			if (wait > 0) {
				await waitForAcceptance(api, applied, wait * msPerSecond);
			}
		});
	}),
});
