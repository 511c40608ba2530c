/** `laburnumturn status`: shows which resources are accepted and on how many instances they are in force. */

import {command, flag} from 'cmd-ts';
import {
	statusCollection, summaryName, type ResourceStatus, type SummaryStatus,
} from '../../configuration/resource-status/index.js';
import {runCommand} from '../cli-error/index.js';
import {
	apiOption, outputOption, printOutput, runWithObjectApi,
} from '../cli-options/index.js';
import {formatTable} from '../format-table/index.js';

/** Formats statuses as a table below a summary line. */
export function formatStatuses(summary: SummaryStatus | undefined, statuses: readonly ResourceStatus[]): string {
	const rows = statuses.map(status => [
		`${status.collection}/${status.objectName}`,
		status.acceptedRevision === null ? '-' : String(status.acceptedRevision),
		`${status.inForce.instances}/${status.inForce.of}`,
		status.conditions.map(({type, isTrue, reason, field, message}) => {
			const detail = message === undefined ? '' : ` (${field === undefined ? '' : `${field}: `}${message})`;
			return `${type}=${isTrue ? 'yes' : 'no'}:${reason}${detail}`;
		}).join(' '),
	]);
	return `${formatSummary(summary)}\n${formatTable(['RESOURCE', 'REVISION', 'IN FORCE', 'CONDITIONS'], rows)}`;
}

function formatSummary(summary: SummaryStatus | undefined): string {
	if (summary === undefined) {
		return 'no instance has accepted or refused anything yet';
	}

	const {revision, inForce, problems, firstProblem} = summary;
	const text = `revision ${revision ?? '-'} in force on ${inForce.instances} of ${inForce.of} instances`;
	return problems === 0 ? text : `${text}; newer resources are refused for ${problems} problems, first: ${firstProblem ?? ''}`;
}

/** Command `status`. */
export const statusCommand = command({
	name: 'status',
	description: 'show accepted revision, instances in force and reasons per resource',
	args: {
		api: apiOption, output: outputOption,
		refused: flag({long: 'refused', description: 'only resources that are not accepted or not in force everywhere'}),
	},
	handler: async ({api: origin, output, refused}) => runCommand(async () => runWithObjectApi(origin, async api => {
		const {items} = await api.list<ResourceStatus | SummaryStatus>(statusCollection);
		const summary = items.find(item => item.name === summaryName)?.value as SummaryStatus | undefined;
		const statuses = items.filter(item => item.name !== summaryName).map(item => item.value as ResourceStatus)
			.filter(status => !refused || status.conditions.some(condition => !condition.isTrue));
		printOutput(output, {summary, statuses}, () => formatStatuses(summary, statuses));
	})),
});
