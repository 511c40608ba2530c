/** A proxy between one machine and the store. While it is cut, it resets all connections, new ones too. */

import {connect, createServer} from 'node:net';

/** Starts a proxy to `address` at `host`. */
export async function startProxy(host, address) {
	const [targetHost, targetPort] = address.split(':');
	const sockets = new Set();
	let isCut = false;
	const server = createServer(socket => {
		if (isCut) {
			socket.resetAndDestroy();
			return;
		}

		const upstream = connect(Number(targetPort), targetHost);
		for (const [from, to] of [[socket, upstream], [upstream, socket]]) {
			sockets.add(from);
			from.pipe(to);
			from.on('error', () => {
				to.destroy();
			});
			from.once('close', () => {
				sockets.delete(from);
				to.destroy();
			});
		}
	});
	await new Promise(resolve => {
		server.listen(0, host, resolve);
	});
	return {
		address: `${host}:${server.address().port}`,
		cut() {
			isCut = true;
			for (const socket of sockets) {
				socket.resetAndDestroy();
			}
		},
		heal() {
			isCut = false;
		},
		close() {
			for (const socket of sockets) {
				socket.destroy();
			}

			server.close();
		},
	};
}
