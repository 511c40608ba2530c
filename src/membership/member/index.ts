/** An entry instance as its peers know it. */

import type {
	DataCentreId, FleetId, Incarnation, InstanceId, MonotonicMs, Revision,
} from '../../identity/ids/index.js';

/** State of an entry instance between one start and the next, as identified by its incarnation. */
export type Member = {
	readonly id: InstanceId;
	readonly incarnation: Incarnation;
	readonly fleet: FleetId;
	readonly region: string;
	readonly dataCentre: DataCentreId;
	/** `host:port` of the peer listener. */
	readonly peerAddress: string;
	/** `host:port` of the caller listener. */
	readonly callerAddress: string;
	readonly state: 'live' | 'leaving';
	/** Revision of the configuration in force on the instance. */
	readonly revision: Revision;
	/** Work that the instance can take, in processor cores; undefined if it is not known. */
	readonly capacity?: number | undefined;
	/** Revision of the settings in force on the instance, as far as it is known. */
	readonly settingsRevision?: string | undefined;
};

/** Read access to membership for the other parts of the daemon. */
export type MemberView = {
	readSelf(): Member;
	/** Lists the members whose heartbeat counter advanced recently, including this instance. */
	listLive(now: MonotonicMs): readonly Member[];
};
