/** `laburnumturn instances`: shows the instances that one instance knows. */

import {command} from 'cmd-ts';
import type {Member} from '../../membership/member/index.js';
import {runCommand} from '../cli-error/index.js';
import {outputOption, printOutput} from '../cli-options/index.js';
import {adminOption, fetchDump} from '../dump/index.js';
import {formatTable} from '../format-table/index.js';

/** Extracts the members from a dump, the dumped instance first. */
export function extractMembers(dump: Record<string, unknown>): Member[] {
	const {self, members = []} = (dump.membership ?? {}) as {self?: Member; members?: Member[]};
	return [...self === undefined ? [] : [self], ...members];
}

/** Formats members as a table. */
export function formatMembers(members: readonly Member[]): string {
	const rows = members.map(member => [
		member.id, member.fleet, member.dataCentre, member.state, String(member.revision), member.settingsRevision ?? '', member.callerAddress, member.peerAddress,
	]);
	return formatTable(['INSTANCE', 'FLEET', 'DATA CENTRE', 'STATE', 'REVISION', 'SETTINGS', 'CALLERS', 'PEERS'], rows);
}

/** Command `instances`. */
export const instancesCommand = command({
	name: 'instances',
	description: 'show the instances that an instance knows, and the revisions of configuration and settings in force on each',
	args: {admin: adminOption, output: outputOption},
	handler: async ({admin, output}) => runCommand(async () => {
		const members = extractMembers(await fetchDump(admin));
		printOutput(output, members, () => formatMembers(members));
	}),
});
