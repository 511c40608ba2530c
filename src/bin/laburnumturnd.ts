#!/usr/bin/env node
/** Entry point of the daemon. A second signal ends a planned stop without waiting. */

import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {
	command, option, run, string,
} from 'cmd-ts';
import {parseSettings} from '../daemon/settings/index.js';
import {startDaemon} from '../daemon/start-daemon/index.js';

const daemonCommand = command({
	name: 'laburnumturnd',
	description: 'Router for language-model traffic',
	args: {settings: option({type: string, long: 'settings', description: 'file with settings in JSON with comments'})},
	async handler({settings: file}) {
		try {
			const settings = parseSettings(await readFile(file, 'utf8'), file);
			const daemon = await startDaemon(settings);
			process.stdout.write(`${JSON.stringify({listening: daemon.address})}\n`);
			let isStopping = false;
			const stop = () => {
				if (isStopping) {
					daemon.forceStop();
					return;
				}

				isStopping = true;
				void daemon.stop().then(outcome => {
					process.exit(outcome === 'drained' ? 0 : 1);
				});
			};

			process.on('SIGTERM', stop);
			process.on('SIGINT', stop);
		} catch (error) {
			process.stderr.write(`laburnumturnd: ${(error as Error).message}\n`);
			process.exit(1);
		}
	},
});

await run(daemonCommand, process.argv.slice(2));
