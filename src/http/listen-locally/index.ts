/** Starts servers on the loopback address, for tools and tests. */

import {once} from 'node:events';
import type {AddressInfo, Server} from 'node:net';

/** Listens on a free port; returns `host:port`. */
export async function listenLocally(server: Server): Promise<string> {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
