/** The platform's list of instances. It lags behind the truth. */

/** One entry of the list. `role` tells entry instances from targets. */
export type ListedInstance = {
	readonly id: string;
	readonly role: 'entry' | 'target';
	/** `host:port` of the peer listener for entry instances, of the service for targets. */
	readonly address: string;
	readonly state: 'live' | 'leaving';
};

/** Client of the instance list. */
export type InstanceList = {
	/** Reads the list; rejects when the platform does not answer. */
	read(): Promise<readonly ListedInstance[]>;
};
