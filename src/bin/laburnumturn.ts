#!/usr/bin/env node
/** The operators' command-line tool. */

import process from 'node:process';
import {run, subcommands} from 'cmd-ts';
import {applyCommand} from '../cli/apply/index.js';
import {checkCommand} from '../cli/check/index.js';
import {deleteCommand} from '../cli/delete/index.js';
import {dumpCommand} from '../cli/dump/index.js';
import {explainCommand} from '../cli/explain/index.js';
import {getCommand} from '../cli/get/index.js';
import {instancesCommand} from '../cli/instances/index.js';
import {keyCommand} from '../cli/key/index.js';
import {statusCommand} from '../cli/status/index.js';
import {watchCommand} from '../cli/watch/index.js';

const application = subcommands({
	name: 'laburnumturn',
	description: 'Operates laburnumturn by writing resources and reading status',
	cmds: {
		check: checkCommand, apply: applyCommand, get: getCommand, watch: watchCommand, delete: deleteCommand,
		status: statusCommand, key: keyCommand, dump: dumpCommand, instances: instancesCommand,
		explain: explainCommand,
	},
});

await run(application, process.argv.slice(2));
