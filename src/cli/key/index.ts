/** `laburnumturn key`: creates and withdraws keys. */

import {
	command, option, string, subcommands,
} from 'cmd-ts';
import {runCommand} from '../cli-error/index.js';
import {
	apiOption, outputOption, printOutput, runWithObjectApi,
} from '../cli-options/index.js';
import {createKey, withdrawKey} from '../create-key/index.js';

const fleetOption = option({type: string, long: 'fleet', description: 'fleet of the key'});
const nameOption = option({type: string, long: 'name', description: 'label of the key, unique within the fleet'});

const createCommand = command({
	name: 'create',
	description: 'create a key; its secret is shown once and only its hash is stored',
	args: {
		api: apiOption, output: outputOption, fleet: fleetOption, name: nameOption,
		organisation: option({type: string, long: 'organisation', description: 'organisation of the same fleet'}),
	},
	handler: async ({api: origin, output, ...label}) => runCommand(async () => runWithObjectApi(origin, async api => {
		const {secret, applied} = await createKey(api, label);
		printOutput(output, {...applied, secret}, () => `keys/${applied.name} created\nsecret (not shown again): ${secret}\n`);
	})),
});

const withdrawCommand = command({
	name: 'withdraw',
	description: 'withdraw a key; it stops working within seconds',
	args: {api: apiOption, fleet: fleetOption, name: nameOption},
	handler: async ({api: origin, ...label}) => runCommand(async () => {
		await runWithObjectApi(origin, async api => withdrawKey(api, label));
		process.stdout.write(`keys/${label.fleet}.${label.name} withdrawn\n`);
	}),
});

/** Commands `key create` and `key withdraw`. */
export const keyCommand = subcommands({name: 'key', description: 'create and withdraw keys', cmds: {create: createCommand, withdraw: withdrawCommand}});
