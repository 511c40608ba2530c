/** An entry instance as its peers see it. */

import type {
	DataCentreId, FleetId, Incarnation, InstanceId, MonotonicMs, Revision,
} from '../../identity/ids/index.js';

/** One life of an entry instance. */
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
	/** Revision of the configuration in force there. */
	readonly revision: Revision;
};

/** What other parts of the daemon may ask about membership. */
export type MemberView = {
	readSelf(): Member;
	/** Members, this instance included, whose heartbeat advanced recently. */
	listLive(now: MonotonicMs): readonly Member[];
};
