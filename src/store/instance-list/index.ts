/** The platform's list of instances, which is eventually consistent. */

/** An item of the list. `role` distinguishes entry instances from targets. */
export type ListedInstance = {
	readonly id: string;
	readonly role: 'entry' | 'target';
	/** `host:port` of the peer listener of an entry instance, or of the service of a target. */
	readonly address: string;
	readonly state: 'live' | 'leaving';
};

/** Client of the instance list. */
export type InstanceList = {
	/** Reads the list. Rejects if the platform does not respond. */
	read(): Promise<readonly ListedInstance[]>;
};
