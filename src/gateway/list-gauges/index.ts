/** Lists the gauges of a gateway instance. */

import type {ObjectApi} from '../../store/object-api/index.js';
import type {CallListener} from '../call-listener/index.js';
import type {GatewayGauges} from '../gateway-metrics/index.js';

/** Where the values come from. */
export type GaugeSources = {
	readonly listener: Pick<CallListener, 'callsInProgress'>;
	/** Components with gauges of their own. */
	readonly sources: ReadonlyArray<{readonly gauges: GatewayGauges}>;
	readonly objectApi: Pick<ObjectApi, 'readEra'>;
	/** Counts the live instances, this one included. */
	readonly countMembers: () => number;
	readonly readRevision: () => number;
};

/** Returns the gauges by name. */
export function listGauges({listener, sources, objectApi, countMembers, readRevision}: GaugeSources): GatewayGauges {
	const own: GatewayGauges = {
		calls_in_progress: {help: 'Calls being served.', read: () => listener.callsInProgress},
		object_api_era: {help: 'Era of the object API, which rises with each restore from a copy.', read: () => objectApi.readEra()},
		members: {help: 'Live instances, this one included.', read: countMembers},
		configuration_revision: {help: 'Revision of the configuration in force, -1 for none.', read: readRevision},
	};
	return Object.assign({}, own, ...sources.map(({gauges}) => gauges)) as GatewayGauges;
}
