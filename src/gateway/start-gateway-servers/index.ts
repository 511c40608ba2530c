/** Starts the small HTTP servers of a gateway: readiness, addresses of instances, and the listener for operators. */

import {AdminServer} from '../../daemon/admin-server/index.js';
import {startJsonServer} from '../../http/start-json-server/index.js';
import {answerAddressQuery, type AddressSource} from '../answer-address-query/index.js';
import type {GatewayMetrics} from '../gateway-metrics/index.js';

/** Dependencies of the servers. */
export type GatewayServersOptions = AddressSource & {
	/** Addresses to listen at. */
	readonly listen: {readonly readiness: string; readonly directory: string; readonly admin: string};
	readonly metrics: GatewayMetrics;
	/** Whether the instance takes new callers. */
	readonly isReady: () => boolean;
	/** State of each component, by its name. */
	readonly dump: () => unknown;
};

/** Starts the servers; resolves once all of them listen. */
export async function startGatewayServers(options: GatewayServersOptions): Promise<void> {
	const {
		adapter, listen, metrics, isReady, dump,
	} = options;
	await startJsonServer(listen.readiness, url => url.pathname === adapter.readinessPath
		? {status: isReady() ? 200 : 503, body: {ready: isReady()}}
		: {status: 404, body: {}});
	await startJsonServer(listen.directory, url => answerAddressQuery(url, options));
	await new AdminServer({
		metrics, dump, readObstacle: () => isReady() ? undefined : 'no configuration, or stopping',
	}).listen(listen.admin);
}
