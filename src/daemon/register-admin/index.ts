/** Wires the admin listener into the daemon. */

import type {Revision} from '../../identity/ids/index.js';
import {noRevision} from '../../membership/membership/index.js';
import type {CallerServer} from '../../requests/caller-server/index.js';
import {AdminServer} from '../admin-server/index.js';
import type {DaemonCore} from '../create-core/index.js';

/** Registers the component `admin`. */
export function registerAdmin(core: DaemonCore, server: CallerServer, readRevision: () => Revision): void {
	const {clock, membership, metrics, components, settings} = core;
	metrics.addSources({
		countInFlight: () => server.inFlight,
		countConnections: () => server.countConnections(),
		readRevision,
		countMembers() {
			const liveMembers = membership.listLive(clock.readMonotonic());
			const leavingCount = liveMembers.filter(member => member.state === 'leaving').length;
			return {live: liveMembers.length - leavingCount, leaving: leavingCount};
		},
	});
	const admin = new AdminServer({
		metrics,
		dump: () => components.dump(),
		readObstacle: () => findObstacle(core, readRevision()),
	});
	components.register({
		name: 'admin',
		async start() {
			await admin.listen(settings.listen.admin);
		},
		stop: async () => admin.close(),
	});
}

function findObstacle({membership}: DaemonCore, revision: Revision): string | undefined {
	if (membership.readSelf().state === 'leaving') {
		return 'the instance is leaving';
	}

	return revision === noRevision ? 'no configuration is held' : undefined;
}
