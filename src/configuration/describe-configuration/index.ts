/** Describes a configuration in a state dump. */

import type {Configuration} from '../configuration/index.js';

/** Names of all resources in a configuration. Keys are listed by label and state, never by hash. */
export type ConfigurationDescription = {
	readonly organisations: readonly string[];
	readonly keys: ReadonlyArray<{readonly name: string; readonly state: string}>;
	readonly models: readonly string[];
	readonly routes: readonly string[];
	readonly targets: readonly string[];
};

/** Lists the resources of `configuration` by name. */
export function describeConfiguration({data}: Configuration): ConfigurationDescription {
	return {
		organisations: data.organisations.map(organisation => organisation.id),
		keys: data.keys.map(key => ({name: `${key.fleet}/${key.name}`, state: key.state})),
		models: data.models.map(model => model.id),
		routes: data.routes.map(route => route.id),
		targets: data.targets.map(target => target.id),
	};
}
