/** The configuration as an isolated instance may use it: open routes only. */

import {createRouterError} from '../../results/create-router-error/index.js';
import {Configuration} from '../configuration/index.js';

/** Configuration that refuses every key, since the key may have been withdrawn elsewhere. */
export class IsolatedConfiguration extends Configuration {
	constructor(configuration: Configuration) {
		super(configuration.revision, configuration.data);
	}

	override findKey(): never {
		throw createRouterError('isolated');
	}
}
