/** `laburnumturn dump`: shows the state of one instance. */

import {command, option, string} from 'cmd-ts';
import {fetchJson} from '../../http/fetch-json/index.js';
import {runCommand} from '../cli-error/index.js';
import {formatJson} from '../format-table/index.js';

const dumpTimeoutMs = 5000;

/** Address of an admin listener. */
export const adminOption = option({
	type: string, long: 'admin', env: 'LABURNUMTURN_ADMIN', description: 'admin listener of an instance, host:port',
});

/** Fetches the dump of the instance at `admin`. */
export async function fetchDump(admin: string): Promise<Record<string, unknown>> {
	return fetchJson(`http://${admin}/dump`, {timeoutMs: dumpTimeoutMs});
}

/** Command `dump`. */
export const dumpCommand = command({
	name: 'dump',
	description: 'show the state of an instance as JSON; it contains no key',
	args: {admin: adminOption},
	handler: async ({admin}) => runCommand(async () => {
		process.stdout.write(formatJson(await fetchDump(admin)));
	}),
});
