/** Configuration of an isolated instance, which serves open routes only. */

import {createRouterError} from '../../results/create-router-error/index.js';
import {Configuration} from '../configuration/index.js';

/** Configuration that refuses every key, because an isolated instance cannot learn that a key was withdrawn. */
export class IsolatedConfiguration extends Configuration {
	constructor(configuration: Configuration) {
		super(configuration.revision, configuration.data);
	}

	override findKey(): never {
		throw createRouterError('isolated');
	}
}
